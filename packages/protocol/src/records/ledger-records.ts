/** Records of the ledger stream: online charges and calls that may not be repeated. */
import type { Usage } from '../usage.js'
import type { RecordType } from './record-type.js'

/** An online answer was delivered whole. The first record with a charge's identifier counts. */
export interface Charged {
  readonly type: typeof RecordType.Charged
  /** The client's idempotency key, or else the request's own identifier. */
  readonly charge: string
  /** Whether the identifier is the client's key, with which the request may be sent again. */
  readonly keyed: boolean
  readonly client: string
  readonly subject: string
  readonly usage: Usage
}

/** A call that may not be repeated is about to be sent. The first intent with a key wins. */
export interface CallIntended {
  readonly type: typeof RecordType.CallIntended
  readonly client: string
  readonly service: string
  readonly idempotencyKey: string
  /** Hash of method, path and body, so that a key cannot be used for another call. */
  readonly digest: string
  /** Identifier of this try, by which its entry finds its own intent. */
  readonly attempt: string
}

/** The answer to a call that may not be repeated, kept for resends. */
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

/** The call was certainly not sent and its intent is withdrawn. */
export interface CallAbandoned {
  readonly type: typeof RecordType.CallAbandoned
  readonly client: string
  readonly service: string
  readonly idempotencyKey: string
  readonly attempt: string
}

export type LedgerRecord = Charged | CallIntended | CallCompleted | CallAbandoned
