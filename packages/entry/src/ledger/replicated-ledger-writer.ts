/** Appends to the ledger so that its records survive the loss of this entry. */
import type { LogWriter, SchedulerLinks } from '@arbutusloft/daemon'
import { ownersOf } from '@arbutusloft/policy'
import { MessageType } from '@arbutusloft/protocol'
import type { ReportedRecord } from '@arbutusloft/protocol'

/** Options of {@link ReplicatedLedgerWriter}. */
export interface ReplicatedLedgerWriterOptions {
  readonly links: SchedulerLinks
  /** Writer of the ledger. */
  readonly writer: LogWriter
}

/** Number of schedulers that get each record; with 2 a record survives the loss of this entry and one scheduler. */
const schedulersPerRecord = 2

/**
 * Reports each record to schedulers and appends it. The schedulers append it too if this entry fails to, and the
 * fold deduplicates the copies.
 */
export class ReplicatedLedgerWriter {
  constructor (private readonly options: ReplicatedLedgerWriterOptions) {}

  /** Reports and appends a record; resolves when the log has acknowledged it or the timeout is over. */
  async append (record: ReportedRecord, timeoutMilliseconds: number | null = null): Promise<void> {
    this.#report(record)
    await this.options.writer.append([record], timeoutMilliseconds)
  }

  #report (record: ReportedRecord): void {
    const links = this.options.links.all().map(link => ({ id: link.peer, zone: '', link }))
    const key = 'charge' in record ? record.charge : record.attempt
    // Rendezvous hashing of the record's key chooses the schedulers; zones play no part.
    for (const { link } of ownersOf(key, links, schedulersPerRecord)) {
      link.send({ type: MessageType.LedgerReport, records: [record] })
    }
  }
}
