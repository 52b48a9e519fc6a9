/** Splits clients' allowances among entries by recent demand. */
import type { ClientDemand, ClientShare } from '@arbutusloft/protocol'

/** Options of {@link AllowanceSplit}. */
export interface AllowanceSplitOptions {
  /** Milliseconds for which an entry's reported demand is counted. */
  readonly demandLifetimeMilliseconds: number
  /** Fraction of the allowance that is split evenly, so that entries without recent demand can admit requests at once. */
  readonly evenFraction: number
}

export const defaultAllowanceSplitOptions: AllowanceSplitOptions = {
  demandLifetimeMilliseconds: 5_000,
  evenFraction: 0.2
}

interface ReportedDemand extends ClientDemand {
  /** Time in milliseconds since the epoch. */
  readonly reportedAt: number
}

/**
 * Splits each client's allowance among entries, mostly in proportion to their reported demand. Run by the scheduler that
 * owns the client's limits.
 */
export class AllowanceSplit {
  readonly #demands = new Map<string, Map<string, ReportedDemand>>()

  constructor (private readonly options = defaultAllowanceSplitOptions) {}

  /**
   * Records an entry's demand for one client's allowance and returns the entry's share of it.
   *
   * @param entries number of live entries
   */
  update (entry: string, demand: ClientDemand, entries: number, now: number): ClientShare {
    const demands = this.#demandsOf(demand.client)
    demands.set(entry, { ...demand, reportedAt: now })
    this.#removeExpired(demands, now)
    const total = totalOf(demands)
    const evenShare = 1 / Math.max(entries, demands.size)
    return {
      client: demand.client,
      requests: this.#shareOf(demand.requests, total.requests, evenShare),
      tokens: this.#shareOf(demand.tokens, total.tokens, evenShare),
      concurrency: this.#shareOf(demand.concurrency, total.concurrency, evenShare)
    }
  }

  /** Drops clients without recent demand. */
  prune (now: number): void {
    for (const [client, demands] of this.#demands) {
      this.#removeExpired(demands, now)
      if (demands.size === 0) {
        this.#demands.delete(client)
      }
    }
  }

  #shareOf (demand: number, totalDemand: number, evenShare: number): number {
    const proportional = totalDemand > 0 ? demand / totalDemand : evenShare
    return this.options.evenFraction * evenShare + (1 - this.options.evenFraction) * proportional
  }

  #demandsOf (client: string): Map<string, ReportedDemand> {
    let demands = this.#demands.get(client)
    if (demands === undefined) {
      demands = new Map()
      this.#demands.set(client, demands)
    }
    return demands
  }

  #removeExpired (demands: Map<string, ReportedDemand>, now: number): void {
    for (const [entry, demand] of demands) {
      if (now - demand.reportedAt > this.options.demandLifetimeMilliseconds) {
        demands.delete(entry)
      }
    }
  }
}

function totalOf (demands: ReadonlyMap<string, ReportedDemand>): Omit<ClientDemand, 'client'> {
  let requests = 0
  let tokens = 0
  let concurrency = 0
  for (const demand of demands.values()) {
    requests += demand.requests
    tokens += demand.tokens
    concurrency += demand.concurrency
  }
  return { requests, tokens, concurrency }
}
