/** Messages that hand ledger records to schedulers, so that the records survive the loss of the entry that creates them. */
import type { CallCompleted, Charged } from '../records/ledger-records.js'
import type { MessageType } from './message-type.js'

/** A ledger record that an entry reports to schedulers before it appends the record itself. */
export type ReportedRecord = Charged | CallCompleted

/** Hands a scheduler the records that an entry is about to append; the scheduler appends them if the entry fails to. */
export interface LedgerReport {
  readonly type: typeof MessageType.LedgerReport
  readonly records: readonly ReportedRecord[]
}
