/** Backup of ledger records that entries have reported, kept until the ledger contains them. */
import { RecordType } from '@arbutusloft/protocol'
import type { LogRecord, ReportedRecord } from '@arbutusloft/protocol'
import type { AppliedRecord, Link, LogWriter, StreamFollower } from '@arbutusloft/daemon'
import type { LedgerFold } from '@arbutusloft/state'

/** Options of {@link LedgerBackup}. */
export interface LedgerBackupOptions {
  readonly fold: LedgerFold
  readonly follower: StreamFollower
  readonly writer: LogWriter
}

interface PendingRecord {
  readonly record: ReportedRecord
  /** Link over which the record was reported; a restarted entry opens a new one. */
  readonly link: Pick<Link, 'closed'>
  readonly reportedAt: number
}

/** Milliseconds that an entry with an open link has to append its own records. */
const linkedEntryGraceMilliseconds = 60_000

/**
 * Milliseconds that an entry whose link broke has to append its own records. The fold drops duplicates, so appending a
 * record that the entry appends as well costs little.
 */
const lostEntryGraceMilliseconds = 500

const checkIntervalMilliseconds = 250

/** Maximum number of records kept. Entries keep their records too, so the oldest may be dropped. */
const maximumPendingRecords = 50_000

/** Appends records whose entry failed before it could append them itself. */
export class LedgerBackup {
  readonly #pending = new Map<string, PendingRecord>()
  readonly #timer: NodeJS.Timeout
  readonly #stopListening: () => void

  constructor (private readonly options: LedgerBackupOptions) {
    this.#stopListening = options.follower.onRecord(applied => { this.#onRecord(applied) })
    this.#timer = setInterval(() => { this.#appendOverdue() }, checkIntervalMilliseconds)
  }

  /** Number of records that the ledger does not contain yet. */
  get size (): number {
    return this.#pending.size
  }

  /** Keeps records that an entry reports. */
  add (link: Pick<Link, 'closed'>, records: readonly ReportedRecord[]): void {
    for (const record of records) {
      if (!this.#isInLedger(record)) {
        this.#pending.set(keyOf(record), { record, link, reportedAt: Date.now() })
      }
    }
    for (const oldestKey of this.#pending.keys()) {
      if (this.#pending.size <= maximumPendingRecords) {
        break
      }
      this.#pending.delete(oldestKey)
    }
  }

  /** Appends all remaining records, whichever entry reported them; the fold drops those that others append as well. */
  flush (): void {
    this.#append([...this.#pending.values()])
  }

  close (): void {
    clearInterval(this.#timer)
    this.#stopListening()
  }

  #isInLedger (record: ReportedRecord): boolean {
    const { fold } = this.options
    if (record.type === RecordType.Charged) {
      return fold.isCharged(record.client, record.charge)
    }
    return fold.findCall(record.client, record.service, record.idempotencyKey)?.answer != null
  }

  #onRecord (applied: AppliedRecord): void {
    if (isReported(applied.record)) {
      this.#pending.delete(keyOf(applied.record))
    }
  }

  #appendOverdue (): void {
    const now = Date.now()
    const overdue = [...this.#pending.values()].filter(pending => {
      const graceMilliseconds = pending.link.closed ? lostEntryGraceMilliseconds : linkedEntryGraceMilliseconds
      return this.options.follower.logReachable && now - pending.reportedAt > graceMilliseconds
    })
    this.#append(overdue)
  }

  #append (pending: readonly PendingRecord[]): void {
    if (pending.length === 0) {
      return
    }
    for (const { record } of pending) {
      this.#pending.delete(keyOf(record))
    }
    void this.options.writer.append(pending.map(({ record }) => record))
  }
}

function isReported (record: LogRecord): record is ReportedRecord {
  return record.type === RecordType.Charged || record.type === RecordType.CallCompleted
}

function keyOf (record: ReportedRecord): string {
  return record.type === RecordType.Charged
    ? JSON.stringify([record.client, record.charge])
    : JSON.stringify([record.client, record.service, record.idempotencyKey, record.attempt])
}
