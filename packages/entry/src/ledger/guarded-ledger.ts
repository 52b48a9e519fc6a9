/** Appending to the ledger in such a way that the loss of this entry loses no record. */
import type { LogWriter, SchedulerLinks } from '@arbutusloft/daemon'
import { ownersOf } from '@arbutusloft/policy'
import { MessageType } from '@arbutusloft/protocol'
import type { ReportedRecord } from '@arbutusloft/protocol'

/** Options of {@link GuardedLedger}. */
export interface GuardedLedgerOptions {
  readonly links: SchedulerLinks
  /** Writer of the ledger. */
  readonly writer: LogWriter
}

/** Schedulers that are told of each record, so that one of them may be lost together with this entry. */
const guards = 2

/** Reports each record to schedulers before it is appended; the fold counts it once, whoever appends it. */
export class GuardedLedger {
  constructor (private readonly options: GuardedLedgerOptions) {}

  /** Keeps a record; resolves when the log has it or the time is over. */
  async append (record: ReportedRecord, timeoutMilliseconds: number | null = null): Promise<void> {
    this.#report(record)
    await this.options.writer.append([record], timeoutMilliseconds)
  }

  #report (record: ReportedRecord): void {
    const links = this.options.links.all().map(link => ({ id: link.peer, zone: '', link }))
    const key = 'charge' in record ? record.charge : record.attempt
    for (const { link } of ownersOf(key, links, guards)) {
      link.send({ type: MessageType.LedgerReport, records: [record] })
    }
  }
}
