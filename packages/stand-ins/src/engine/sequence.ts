/** One request inside the engine. */
import type { AnswerText } from './answer-text.js'

/** Receives what a sequence generates. */
export interface SequenceReader {
  onToken: (index: number) => void
  onEnd: () => void
}

/** A sequence's state outlives its connection, so that it can be resumed. */
export interface Sequence {
  readonly id: string
  readonly chat: boolean
  readonly model: string
  readonly prompt: string
  readonly text: AnswerText
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Tokens of the whole answer. */
  readonly length: number
  /** Prompt tokens still to compute. */
  prefillLeft: number
  generated: number
  reader: SequenceReader | null
  /** Drops the sequence if nobody resumes it. */
  expiry: NodeJS.Timeout | null
}
