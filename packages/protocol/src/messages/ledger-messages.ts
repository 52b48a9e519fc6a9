/** Messages by which records of the ledger outlive the entry that makes them. */
import type { CallCompleted, Charged } from '../records/ledger-records.js'
import type { MessageType } from './message-type.js'

/** A record that an entry reports while it is being appended. */
export type ReportedRecord = Charged | CallCompleted

/** An entry tells a scheduler records that it is about to append. */
export interface LedgerReport {
  readonly type: typeof MessageType.LedgerReport
  readonly records: readonly ReportedRecord[]
}
