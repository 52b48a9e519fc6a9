/** Records of the ledger that entries reported, kept until the ledger shows them. */
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
  /** Link over which it came; a restarted entry has another. */
  readonly link: Pick<Link, 'closed'>
  readonly since: number
}

/** Milliseconds that a linked entry gets to append its own records. */
const linkedEntryMilliseconds = 60_000

/** Milliseconds that a record is left to an entry whose link broke; appending it in vain costs little. */
const lostEntryMilliseconds = 500

const periodMilliseconds = 250

/** Greatest number of records kept; entries keep theirs too, so the oldest may go. */
const greatestGuarded = 50_000

/** Appends what entries reported and were lost before they could append themselves. */
export class LedgerGuard {
  readonly #guarded = new Map<string, Guarded>()
  readonly #timer: NodeJS.Timeout
  readonly #stopListening: () => void

  constructor (private readonly options: LedgerGuardOptions) {
    this.#stopListening = options.follower.onRecord(applied => { this.#onRecord(applied) })
    this.#timer = setInterval(() => { this.#appendLost() }, periodMilliseconds)
  }

  /** Number of records that the ledger does not show yet. */
  get size (): number {
    return this.#guarded.size
  }

  /** An entry reports records. */
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

  /** Appends what is left, whoever reported it; the fold drops what others append as well. */
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
