/**
 * State of non-idempotent calls to services.
 *
 * Snapshots contain these interfaces as they are, so property names are part of the stored format.
 */

/** The service's response, kept so that a resend of the call gets it and the call is not executed again. */
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
  /** Hash of method, path and body, by which the reuse of the key for another call is detected. */
  readonly digest: string
  /** The attempt whose intent came first in the log; only this attempt is sent. */
  readonly attempt: string
  readonly answer: CallAnswer | null
  /** Log time of the intent, in epoch milliseconds. */
  readonly time: number
}
