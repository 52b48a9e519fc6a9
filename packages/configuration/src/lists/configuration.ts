/** The two lists as typed values. */

/** A client, which holds a plan. From the plans list. */
export interface Client {
  readonly name: string
  readonly plan: string
  /** Hashes of the client's keys; several, so that keys can be replaced without a gap. */
  readonly keyHashes: readonly string[]
}

/** What a plan may use. From the usage list. */
export interface Plan {
  readonly name: string
  readonly requestsPerMinute: number
  readonly tokensPerMinute: number
  /** Online requests in flight at once. */
  readonly concurrency: number
  /** Weight among clients when batch slots are shared. */
  readonly batchWeight: number
  readonly models: readonly string[]
  readonly services: readonly string[]
}

/** A model that targets serve. */
export interface Model {
  readonly name: string
  /** Greatest number of prompt and generated tokens together. */
  readonly contextTokens: number
}

/** A plain service that targets serve. */
export interface Service {
  readonly name: string
  /** Whether a call may be repeated when its outcome is unknown. */
  readonly repeatable: boolean
}

/** A target, whose address and state the instance list tells. */
export interface Target {
  readonly name: string
  /** Model that it serves, or null. */
  readonly model: string | null
  /** Service that it serves, or null. */
  readonly service: string | null
  /** Requests that it runs at once. */
  readonly concurrency: number
  /** Whether it refuses orders with an old fencing number. */
  readonly checksFencing: boolean
}

/** Everything that operators have configured. */
export interface Configuration {
  readonly clients: ReadonlyMap<string, Client>
  readonly plans: ReadonlyMap<string, Plan>
  readonly models: ReadonlyMap<string, Model>
  readonly services: ReadonlyMap<string, Service>
  readonly targets: ReadonlyMap<string, Target>
}

const defaultBatchWeight = 1

/** A client's share of batch slots relative to others, by its plan. */
export function batchWeightOf (configuration: Configuration, client: string): number {
  const plan = configuration.clients.get(client)?.plan ?? ''
  return configuration.plans.get(plan)?.batchWeight ?? defaultBatchWeight
}

/** The configuration before any edit. */
export const emptyConfiguration: Configuration = {
  clients: new Map(),
  plans: new Map(),
  models: new Map(),
  services: new Map(),
  targets: new Map()
}
