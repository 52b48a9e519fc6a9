/**
 * State of non-idempotent calls to services.
 *
 * Snapshots contain these interfaces as they are, so property names are part of the stored format.
 */

/** The service's answer, kept so that a repeated call gets it without being executed again. */
export interface CallAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** A call with an idempotency key. While it has no answer its outcome is unknown. */
export interface CallState {
  readonly client: string
  readonly service: string
  readonly idempotencyKey: string
  /** Hash of method, path and body; rejects the same key with another call. */
  readonly digest: string
  /** The attempt whose intent came first in the log; only this attempt is sent. */
  readonly attempt: string
  readonly answer: CallAnswer | null
  /** Log time of the intent, in epoch milliseconds. */
  readonly time: number
}
