/** History of the operations that callers started and of their outcomes. */

/** An operation that a caller started. */
export type Operation =
  | { readonly kind: 'chat', readonly content: string, readonly maximumCompletionTokens: number }
  | { readonly kind: 'confirm', readonly idempotencyKey: string }

/** Outcome of an operation as its caller observed it. */
export interface Outcome {
  /** HTTP status, or 0 if the request failed or its response could not be read. */
  readonly status: number
  /** Value of the header `x-arbutus-run` (`not-run` or `outcome-unknown`), or null without it. */
  readonly run: string | null
  /** Whether the response was received to its end; for a stream, up to `[DONE]`. */
  readonly isComplete: boolean
  /** Body of the response; for a stream, the concatenated content. */
  readonly text: string
  /** Text of the exception or, for a chat, the body of an error response; empty otherwise. */
  readonly message: string
}

/** One operation with its times in epoch milliseconds and its outcome, which is null while it is in flight. */
export interface HistoryEvent {
  readonly operation: Operation
  readonly beganAt: number
  endedAt: number | null
  outcome: Outcome | null
}

/** Collects the events of any number of concurrent callers. */
export class History {
  readonly events: HistoryEvent[] = []

  /** Records the start of an operation and returns its event. */
  begin (operation: Operation): HistoryEvent {
    const event: HistoryEvent = { operation, beganAt: Date.now(), endedAt: null, outcome: null }
    this.events.push(event)
    return event
  }

  /** Records the outcome of an operation. */
  end (event: HistoryEvent, outcome: Outcome): void {
    event.endedAt = Date.now()
    event.outcome = outcome
  }
}
