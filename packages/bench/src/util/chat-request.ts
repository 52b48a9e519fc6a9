/** Streamed chat requests that measure their latency. */
import { sample } from '@arbutusloft/development'
import { createIdentifier } from '@arbutusloft/protocol'
import { Agent, request } from 'undici'

/** A request to send. */
export interface ChatRequest {
  /** Address of an entry or an engine. */
  readonly address: string
  readonly key: string
  readonly content: string
  readonly greatestTokens: number
}

/** What came of it; times in milliseconds. */
export interface ChatTimes {
  readonly whole: boolean
  readonly status: number
  readonly timeToFirstToken: number
  /** Times between tokens. */
  readonly gaps: readonly number[]
  readonly total: number
}

const agent = new Agent({ connections: 1_024, headersTimeout: 120_000, bodyTimeout: 120_000 })
const statusOk = 200

/** Sends a chat request; the same one goes to an entry or straight to an engine. */
export async function sendChat (chat: ChatRequest): Promise<ChatTimes> {
  const startedAt = performance.now()
  const response = await request(`http://${chat.address}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: {
      authorization: `Bearer ${chat.key}`,
      'content-type': 'application/json',
      'x-dispatch-id': createIdentifier('bench')
    },
    body: JSON.stringify({
      model: sample.model,
      stream: true,
      max_tokens: chat.greatestTokens,
      messages: [{ role: 'user', content: chat.content }]
    })
  })
  const arrivals: number[] = []
  let tail = ''
  for await (const bytes of response.body) {
    const text = (bytes as Buffer).toString('latin1')
    const tokens = text.split('"finish_reason"').length - 1
    const now = performance.now()
    for (let token = 0; token < tokens; token++) {
      arrivals.push(now)
    }
    tail = (tail + text).slice(-32)
  }
  const first = arrivals[0] ?? performance.now()
  return {
    whole: response.statusCode === statusOk && tail.includes('[DONE]'),
    status: response.statusCode,
    timeToFirstToken: first - startedAt,
    gaps: arrivals.slice(1).map((at, index) => at - (arrivals[index] ?? at)),
    total: performance.now() - startedAt
  }
}
