/** Choice of a route by host and longest path prefix. */

/** What a route's requests may do. */
export const RouteKind = {
  /** May run more than once. */
  Idempotent: 'idempotent',
  /** Runs at most once. */
  SingleRun: 'single-run',
  /** An event stream. */
  Stream: 'stream',
  /** Takes batch jobs. */
  Batch: 'batch'
} as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** A service with its share of a route's requests. */
export interface WeightedService {
  readonly service: string
  readonly weight: number
}

/** A route of the configuration. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  readonly services: readonly WeightedService[]
  /** Longest time in milliseconds that a request is kept waiting. */
  readonly timeoutMilliseconds: number
  /** Time in milliseconds within which an answer should begin. */
  readonly objectiveMilliseconds: number
  /** Rank of the route, 0 first. */
  readonly priority: number
  /** Targets to which one request may be sent. */
  readonly maxAttempts: number
  /** Whether a broken stream may go on at another target. */
  readonly resumable: boolean
  /** Batch: milliseconds from submission within which all results are due. */
  readonly completionMilliseconds: number
  /** Batch: milliseconds from submission after which an item may be given up. */
  readonly retentionMilliseconds: number
  /** Batch: tokens of all clients together that may wait; 0 means no limit. */
  readonly waitingTokens: number
}

/** Limits on what a client may send. */
export interface ClientLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerMilliseconds: number
  readonly idleMilliseconds: number
}

/** One version of the routes in force. */
export interface RouteConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly limits: ClientLimits
}

/** Index of the routes of one version. */
export class RouteTable {
  readonly #hosts = new Map<string, Route[]>()

  constructor (readonly configuration: RouteConfiguration) {
    for (const route of configuration.routes) {
      const routes = this.#hosts.get(route.host) ?? []
      routes.push(route)
      this.#hosts.set(route.host, routes)
    }
    for (const routes of this.#hosts.values()) {
      routes.sort((left, right) => right.prefix.length - left.prefix.length)
    }
  }

  /** The route with the longest prefix of the path, or null. */
  find (host: string, path: string): Route | null {
    return this.#hosts.get(host)?.find(route => path.startsWith(route.prefix)) ?? null
  }

  /** The route of that name, or null if it was removed. */
  named (name: string): Route | null {
    return this.configuration.routes.find(route => route.name === name) ?? null
  }
}

/** Picks a service by weight; `random` is a number from 0 to 1. Null if no weight is above 0. */
export function pickService (services: readonly WeightedService[], random: number): string | null {
  const total = services.reduce((sum, { weight }) => sum + weight, 0)
  let rest = random * total
  for (const { service, weight } of services) {
    if (weight > 0 && rest < weight) {
      return service
    }
    rest -= weight
  }
  return services.findLast(({ weight }) => weight > 0)?.service ?? null
}
