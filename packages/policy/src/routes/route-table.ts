/** Selection of a route by host and longest path prefix. */
import type { Account } from '../accounts/account.js'
import { AccountDirectory } from '../accounts/account-directory.js'
import { PrefixMap } from './prefix-map.js'

/** How requests of a route are run. */
export const RouteKind = {
  /** Requests are idempotent and may run more than once. */
  Idempotent: 'idempotent',
  /** Requests run at most once. */
  SingleRun: 'single-run',
  /** Requests are answered with an event stream. */
  Stream: 'stream',
  /** Requests submit batch jobs. */
  Batch: 'batch'
} as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** A service and its weight among the services of a route. */
export interface WeightedService {
  readonly service: string
  readonly weight: number
}

/** A route of the configuration. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Path prefix; starts and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  readonly services: readonly WeightedService[]
  /** Maximum time in milliseconds that a request is kept waiting. */
  readonly timeoutMilliseconds: number
  /** Time in milliseconds within which an answer should begin. */
  readonly objectiveMilliseconds: number
  /** Rank of the route; 0 is the highest. It decides on requests of accounts without a rank, and on none where there are no accounts. */
  readonly priority: number
  /** Maximum number of targets to which one request is sent. */
  readonly maxAttempts: number
  /** Whether an interrupted stream may be resumed at another target. */
  readonly resumable: boolean
  /** Batch: milliseconds from submission within which all results are due. */
  readonly completionMilliseconds: number
  /** Batch: milliseconds from submission after which an unfinished item may be dropped. */
  readonly retentionMilliseconds: number
  /** Batch: maximum number of tokens that may wait, of each client account, or of all clients together where there are no accounts; 0 means no limit. */
  readonly waitingTokens: number
  /** Whether requests need no key of a client account; false if left out. */
  readonly isPublic?: boolean
}

/** Limits on the size and timing of clients' requests. */
export interface ClientLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  /** Time within which all headers of a request must arrive. */
  readonly headerMilliseconds: number
  /** Time after which an idle connection of a client is closed. */
  readonly idleMilliseconds: number
}

/** One version of the routes and limits in force. */
export interface RouteConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly limits: ClientLimits
  /** Client accounts; left out if requests carry no keys. */
  readonly accounts?: readonly Account[]
}

/** Index of the routes of one version by host and path prefix. */
export class RouteTable {
  /** Of several routes with the same host and prefix, the first. */
  readonly #routes = new PrefixMap<Route>()
  /** Client accounts of the version, or null if requests carry no keys. */
  readonly accounts: AccountDirectory | null
  readonly #publicBatchHosts: ReadonlySet<string>

  constructor (readonly configuration: RouteConfiguration) {
    this.accounts = configuration.accounts === undefined ? null : new AccountDirectory(configuration.accounts)
    this.#publicBatchHosts = new Set(configuration.routes.filter(({ kind, isPublic }) => kind === RouteKind.Batch && isPublic === true).map(({ host }) => host))
    for (const route of configuration.routes) {
      if (!this.#routes.has(route.host, route.prefix)) {
        this.#routes.set(route.host, route.prefix, route)
      }
    }
  }

  /** Returns the route with the longest prefix of the path, or null if none matches. */
  find (host: string, path: string): Route | null {
    const [entry] = this.#routes.matching(host, path)
    return entry?.value ?? null
  }

  /** Whether a host has a batch route whose requests need no key. */
  hasPublicBatchRoute (host: string): boolean {
    return this.#publicBatchHosts.has(host)
  }

  /** Returns the route with the given name, or null if the version has none. */
  findByName (name: string): Route | null {
    return this.configuration.routes.find(route => route.name === name) ?? null
  }
}

/**
 * Selects a service at random in proportion to the weights; null if no weight is positive.
 *
 * @param random a number from 0 to 1, both inclusive
 */
export function pickService (services: readonly WeightedService[], random: number): string | null {
  const total = services.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random * total
  for (const { service, weight } of services) {
    if (weight > 0 && remaining < weight) {
      return service
    }
    remaining -= weight
  }
  return services.findLast(({ weight }) => weight > 0)?.service ?? null
}
