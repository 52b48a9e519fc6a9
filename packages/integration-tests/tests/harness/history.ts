/** A history of what callers asked for and saw. */

/** What a caller asked for. */
export type Operation =
  | { readonly kind: 'chat', readonly content: string, readonly greatestTokens: number }
  | { readonly kind: 'confirm', readonly idempotencyKey: string }

/** What the caller saw. Status 0 stands for a broken connection. */
export interface Outcome {
  readonly status: number
  readonly run: string | null
  readonly whole: boolean
  readonly text: string
  readonly message: string
}

/** One operation with its outcome, or null while it is open. */
export interface HistoryEvent {
  readonly operation: Operation
  readonly beganAt: number
  endedAt: number | null
  outcome: Outcome | null
}

/** Collects events of any number of concurrent callers. */
export class History {
  readonly events: HistoryEvent[] = []

  /** Records that an operation begins. */
  begin (operation: Operation): HistoryEvent {
    const event: HistoryEvent = { operation, beganAt: Date.now(), endedAt: null, outcome: null }
    this.events.push(event)
    return event
  }

  /** Records an operation's end. */
  end (event: HistoryEvent, outcome: Outcome): void {
    event.endedAt = Date.now()
    event.outcome = outcome
  }
}
