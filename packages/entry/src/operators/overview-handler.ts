/** Operators' handlers that list jobs, targets and charges. */
import type { Configuration } from '@arbutusloft/configuration'
import type { Membership, TargetDirectory } from '@arbutusloft/daemon'
import { addUsage, noUsage } from '@arbutusloft/protocol'
import type { Usage } from '@arbutusloft/protocol'
import type { ChargeLine, JobsFold, LedgerFold } from '@arbutusloft/state'
import { batchObject } from '../batches/batch-object.js'
import { paginate } from '../http/paginate.js'
import { sendJson } from '../http/send-json.js'
import type { OperatorExchange } from './lists-handler.js'

/** Options of {@link OverviewHandler}. */
export interface OverviewHandlerOptions {
  readonly jobs: JobsFold
  readonly ledger: LedgerFold
  readonly membership: Membership
  readonly directory: TargetDirectory
  readonly configuration: () => Configuration
}

/** Shows the jobs, targets and charges of the whole system. */
export class OverviewHandler {
  constructor (private readonly options: OverviewHandlerOptions) {}

  /** Lists jobs of all clients, newest first. */
  async jobs (exchange: OperatorExchange): Promise<void> {
    const jobs = [...this.options.jobs.jobs.values()]
      .map(job => ({ ...batchObject(job), client: job.created.client, owner: job.claim?.owner ?? null }))
      .reverse()
    sendJson(exchange.response, paginate(jobs as ReadonlyArray<{ readonly id: string }>, exchange.query))
  }

  /** Lists configured targets with their state and load. */
  async targets (exchange: OperatorExchange): Promise<void> {
    const targets = [...this.options.configuration().targets.values()].map(target => {
      const member = this.options.membership.find(target.name)
      return {
        name: target.name,
        serves: target.model ?? target.service,
        concurrency: target.concurrency,
        address: member?.address ?? null,
        zone: member?.zone ?? null,
        state: member?.state ?? 'absent',
        load: this.options.directory.loadOf(target.name)
      }
    })
    sendJson(exchange.response, { targets })
  }

  /** Lists charges, summed by client and model or service; `?client=` selects one client. */
  async charges (exchange: OperatorExchange): Promise<void> {
    const client = exchange.query.get('client')
    const lines = [...this.options.ledger.charges.lines(client), ...this.options.jobs.charges.lines(client)]
    sendJson(exchange.response, { charges: sumCharges(lines) })
  }
}

function sumCharges (lines: readonly ChargeLine[]): readonly ChargeLine[] {
  const sums = new Map<string, ChargeLine>()
  for (const line of lines) {
    const key = `${line.client}\n${line.subject}`
    const before: Usage = sums.get(key)?.usage ?? noUsage
    sums.set(key, { client: line.client, subject: line.subject, usage: addUsage(before, line.usage) })
  }
  return [...sums.values()]
}
