/** The union of all records that folds apply. */
import type { ConfigurationRecord } from './configuration-records.js'
import type { JobRecord } from './job-records.js'
import type { LedgerRecord } from './ledger-records.js'

/** A record of any stream that is folded into state: configuration, jobs or ledger. */
export type LogRecord = ConfigurationRecord | JobRecord | LedgerRecord
