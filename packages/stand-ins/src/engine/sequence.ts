/** State of one generation request inside the engine stand-in. */
import type { AnswerText } from './answer-text.js'

/** Receives the tokens that a sequence generates. */
export interface TokenListener {
  onToken: (index: number) => void
  onEnd: () => void
}

/** A request that generates tokens. It outlives its connection, so that the stream can be resumed. */
export interface Sequence {
  readonly id: string
  /** Whether the request is a chat completion rather than a text completion. */
  readonly isChat: boolean
  readonly model: string
  readonly prompt: string
  readonly answer: AnswerText
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Length of the complete answer, in tokens. */
  readonly answerTokens: number
  /** Number of prompt tokens still to prefill. */
  remainingPrefillTokens: number
  /** Number of tokens generated so far. */
  generated: number
  /** Listener that writes the tokens to the open connection, or null if none is open. */
  listener: TokenListener | null
  /** Timer that drops the sequence unless it is resumed, or null if none is set. */
  expiryTimer: NodeJS.Timeout | null
}
