/** Backup of ledger records that entries have reported, kept until the ledger contains them. */
import { RecordType } from '@arbutusloft/protocol'
import type { LogRecord, ReportedRecord } from '@arbutusloft/protocol'
import type { AppliedRecord, Link, LogWriter, StreamFollower } from '@arbutusloft/daemon'
import type { LedgerFold } from '@arbutusloft/state'

/** Options of {@link LedgerGuard}. */
export interface LedgerGuardOptions {
  readonly fold: LedgerFold
  readonly follower: StreamFollower
  readonly writer: LogWriter
}

interface Guarded {
  readonly record: ReportedRecord
  /** Link over which the record was reported; a restarted entry opens a new one. */
  readonly link: Pick<Link, 'closed'>
  readonly since: number
}

/** Milliseconds that an entry with an open link has to append its own records. */
const linkedEntryMilliseconds = 60_000

/**
 * Milliseconds that an entry whose link broke has to append its own records. The fold drops duplicates, so appending a
 * record that the entry appends as well costs little.
 */
const lostEntryMilliseconds = 500

const periodMilliseconds = 250

/** Maximum number of records kept. Entries keep their records too, so the oldest may be dropped. */
const greatestGuarded = 50_000

/** Appends records whose entry failed before it could append them itself. */
export class LedgerGuard {
  readonly #guarded = new Map<string, Guarded>()
  readonly #timer: NodeJS.Timeout
  readonly #stopListening: () => void

  constructor (private readonly options: LedgerGuardOptions) {
    this.#stopListening = options.follower.onRecord(applied => { this.#onRecord(applied) })
    this.#timer = setInterval(() => { this.#appendLost() }, periodMilliseconds)
  }

  /** Number of records that the ledger does not contain yet. */
  get size (): number {
    return this.#guarded.size
  }

  /** Keeps records that an entry reports. */
  add (link: Pick<Link, 'closed'>, records: readonly ReportedRecord[]): void {
    for (const record of records) {
      if (!this.#isShown(record)) {
        this.#guarded.set(keyOf(record), { record, link, since: Date.now() })
      }
    }
    for (const key of this.#guarded.keys()) {
      if (this.#guarded.size <= greatestGuarded) {
        break
      }
      this.#guarded.delete(key)
    }
  }

  /** Appends all remaining records, whichever entry reported them; the fold drops those that others append as well. */
  flush (): void {
    this.#append([...this.#guarded.values()])
  }

  close (): void {
    clearInterval(this.#timer)
    this.#stopListening()
  }

  #isShown (record: ReportedRecord): boolean {
    const { fold } = this.options
    if (record.type === RecordType.Charged) {
      return fold.isCharged(record.client, record.charge)
    }
    return fold.call(record.client, record.service, record.idempotencyKey)?.answer != null
  }

  #onRecord (applied: AppliedRecord): void {
    if (isReported(applied.record)) {
      this.#guarded.delete(keyOf(applied.record))
    }
  }

  #appendLost (): void {
    const now = Date.now()
    const lost = [...this.#guarded.values()].filter(guarded => {
      const limit = guarded.link.closed ? lostEntryMilliseconds : linkedEntryMilliseconds
      return this.options.follower.reachable && now - guarded.since > limit
    })
    this.#append(lost)
  }

  #append (guarded: readonly Guarded[]): void {
    if (guarded.length === 0) {
      return
    }
    for (const { record } of guarded) {
      this.#guarded.delete(keyOf(record))
    }
    void this.options.writer.append(guarded.map(({ record }) => record))
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
