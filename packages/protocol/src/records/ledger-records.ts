/** Records of the ledger stream: charges for online requests, and the progress of non-idempotent calls. */
import type { Usage } from '../usage.js'
import type { RecordType } from './record-type.js'

/**
 * An online generation or a call to an idempotent service was answered completely, and is charged. Of several records of
 * a client with the same `charge`, only the first counts.
 */
export interface Charged {
  readonly type: typeof RecordType.Charged
  /** The client's idempotency key, or the request identifier if the client sent none. */
  readonly charge: string
  /** Whether `charge` is the client's idempotency key, so that a resend may bring the same value again. */
  readonly keyed: boolean
  readonly client: string
  /** Model or service that was used. */
  readonly subject: string
  readonly usage: Usage
}

/** Intent to send a non-idempotent call to a target. Of several intents with the same key, only the first counts. */
export interface CallIntended {
  readonly type: typeof RecordType.CallIntended
  readonly client: string
  readonly service: string
  readonly idempotencyKey: string
  /** Hash of method, path and body, by which the reuse of a key for another call is detected. */
  readonly digest: string
  /** Identifier of this intent, by which the entry that recorded it recognises it in the fold. */
  readonly attempt: string
}

/** The response to a non-idempotent call, stored so that resends get the same response. Also charges the client. */
export interface CallCompleted {
  readonly type: typeof RecordType.CallCompleted
  readonly client: string
  readonly service: string
  readonly idempotencyKey: string
  readonly attempt: string
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** Withdraws an intent whose call was certainly not sent, so that the key can be used again. */
export interface CallAbandoned {
  readonly type: typeof RecordType.CallAbandoned
  readonly client: string
  readonly service: string
  readonly idempotencyKey: string
  readonly attempt: string
}

export type LedgerRecord = Charged | CallIntended | CallCompleted | CallAbandoned
