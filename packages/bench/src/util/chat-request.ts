/** Sends streamed chat requests and measures their latency. */
import { sample } from '@arbutusloft/development'
import { createIdentifier } from '@arbutusloft/protocol'
import { Agent, request } from 'undici'

/** A chat request. */
export interface ChatRequest {
  /** Address of an entry or an engine, as `ip:port`. */
  readonly address: string
  /** API key. */
  readonly key: string
  readonly content: string
  readonly greatestTokens: number
}

/** Result of a chat request; times are in milliseconds. */
export interface ChatTimes {
  /** Whether the status is 200 and the stream ended with `[DONE]`. */
  readonly whole: boolean
  readonly status: number
  readonly timeToFirstToken: number
  /** Times between consecutive tokens. */
  readonly gaps: readonly number[]
  /** Time from the start of the request to the end of the response. */
  readonly total: number
}

const agent = new Agent({ connections: 1_024, headersTimeout: 120_000, bodyTimeout: 120_000 })
const statusOk = 200

/** Sends a streamed chat request to an entry or directly to an engine; both receive the same request. */
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
    // Each token is sent as an event of its own, which contains one finish_reason field.
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
