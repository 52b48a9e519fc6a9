/** Splits clients' allowances among entries by recent demand. */
import type { ClientDemand, ClientShare } from '@arbutusloft/protocol'

/** Options of {@link AllowanceSplit}. */
export interface AllowanceSplitOptions {
  /** Milliseconds for which an entry's reported demand is counted. */
  readonly demandMilliseconds: number
  /** Fraction of the allowance that is split evenly, so that entries without recent demand can admit requests at once. */
  readonly evenPart: number
}

export const defaultAllowanceSplit: AllowanceSplitOptions = {
  demandMilliseconds: 5_000,
  evenPart: 0.2
}

interface Demand extends ClientDemand {
  readonly at: number
}

/** Demand for each client's allowance by entry, kept by the owner of the clients' limits. */
export class AllowanceSplit {
  readonly #demands = new Map<string, Map<string, Demand>>()

  constructor (private readonly options = defaultAllowanceSplit) {}

  /**
   * Records an entry's demand for one client's allowance and returns the entry's share of it.
   *
   * @param entries number of live entries
   */
  update (entry: string, demand: ClientDemand, entries: number, now: number): ClientShare {
    const demands = this.#demandsOf(demand.client)
    demands.set(entry, { ...demand, at: now })
    this.#expire(demands, now)
    const total = totalOf(demands)
    const even = 1 / Math.max(entries, demands.size)
    return {
      client: demand.client,
      requests: this.#part(demand.requests, total.requests, even),
      tokens: this.#part(demand.tokens, total.tokens, even),
      concurrency: this.#part(demand.concurrency, total.concurrency, even)
    }
  }

  /** Drops clients without recent demand. */
  prune (now: number): void {
    for (const [client, demands] of this.#demands) {
      this.#expire(demands, now)
      if (demands.size === 0) {
        this.#demands.delete(client)
      }
    }
  }

  #part (own: number, total: number, even: number): number {
    const proportional = total > 0 ? own / total : even
    return this.options.evenPart * even + (1 - this.options.evenPart) * proportional
  }

  #demandsOf (client: string): Map<string, Demand> {
    let demands = this.#demands.get(client)
    if (demands === undefined) {
      demands = new Map()
      this.#demands.set(client, demands)
    }
    return demands
  }

  #expire (demands: Map<string, Demand>, now: number): void {
    for (const [entry, demand] of demands) {
      if (now - demand.at > this.options.demandMilliseconds) {
        demands.delete(entry)
      }
    }
  }
}

function totalOf (demands: ReadonlyMap<string, Demand>): Omit<ClientDemand, 'client'> {
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
