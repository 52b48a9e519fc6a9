/** State of calls that may not be repeated. */

/** The answer kept for resends. */
export interface CallAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** A call by its idempotency key. Without an answer its outcome is unknown. */
export interface CallState {
  readonly client: string
  readonly service: string
  readonly idempotencyKey: string
  readonly digest: string
  /** The try whose intent won. */
  readonly attempt: string
  readonly answer: CallAnswer | null
  /** Log time of the intent. */
  readonly time: number
}
