/** State of one generation request inside the engine stand-in. */
import type { AnswerText } from './answer-text.js'

/** Receives the tokens that a sequence generates. */
export interface TokenReader {
  onToken: (index: number) => void
  onEnd: () => void
}

/** A request that generates tokens. It outlives its connection, so that the stream can be resumed. */
export interface Sequence {
  readonly id: string
  readonly chat: boolean
  readonly model: string
  readonly prompt: string
  readonly text: AnswerText
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Length of the complete answer, in tokens. */
  readonly length: number
  /** Number of prompt tokens still to prefill. */
  remainingPrefillTokens: number
  /** Number of tokens generated so far. */
  generated: number
  /** Reader of the tokens, or null while no connection is open. */
  reader: TokenReader | null
  /** Timer that drops the sequence unless it is resumed, or null if none is set. */
  expiryTimer: NodeJS.Timeout | null
}
