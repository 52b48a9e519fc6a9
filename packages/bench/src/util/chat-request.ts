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
  readonly maximumTokens: number
}

/** Result of a chat request; times are in milliseconds. */
export interface ChatResult {
  /** Whether the status is 200 and the stream ended with `[DONE]`. */
  readonly isComplete: boolean
  readonly status: number
  /** Time to the first token, or to the end of the response if no token arrived. */
  readonly timeToFirstToken: number
  /** Times between consecutive tokens. */
  readonly timesBetweenTokens: readonly number[]
  /** Time from the start of the request to the end of the response. */
  readonly total: number
}

const agent = new Agent({ connections: 1_024, headersTimeout: 120_000, bodyTimeout: 120_000 })
const statusOk = 200

/** Sends a streamed chat request to an entry or directly to an engine; both receive the same request. */
export async function sendChat (chat: ChatRequest): Promise<ChatResult> {
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
      max_tokens: chat.maximumTokens,
      messages: [{ role: 'user', content: chat.content }]
    })
  })
  const arrivalTimes: number[] = []
  let lastText = ''
  for await (const bytes of response.body) {
    const text = (bytes as Buffer).toString('latin1')
    // Each token is sent as an event of its own, which contains one finish_reason field.
    const tokens = text.split('"finish_reason"').length - 1
    const now = performance.now()
    for (let token = 0; token < tokens; token++) {
      arrivalTimes.push(now)
    }
    // Includes the end of the previous reads, since `[DONE]` may be split over two of them.
    lastText = (lastText + text).slice(-32)
  }
  const first = arrivalTimes[0] ?? performance.now()
  return {
    isComplete: response.statusCode === statusOk && lastText.includes('[DONE]'),
    status: response.statusCode,
    timeToFirstToken: first - startedAt,
    timesBetweenTokens: arrivalTimes.slice(1).map((at, index) => at - (arrivalTimes[index] ?? at)),
    total: performance.now() - startedAt
  }
}
