/** Typed form of the plans list and the usage list. */

/** A client and the plan that limits it; a section of the plans list. */
export interface Client {
  readonly name: string
  readonly plan: string
  /** Hashes of the client's API keys. There can be several, so that keys can be rotated without an interruption. */
  readonly keyHashes: readonly string[]
}

/** Limits and permissions of the clients with this plan; a section of the usage list. */
export interface Plan {
  readonly name: string
  /** Requests a minute that each client may send. */
  readonly requestsPerMinute: number
  /** Prompt and completion tokens a minute that each client may use. */
  readonly tokensPerMinute: number
  /** Maximum number of online requests in flight for each client. */
  readonly concurrency: number
  /** Relative weight of a client when batch slots are shared among clients. */
  readonly batchWeight: number
  /** Names of the models that clients may use. */
  readonly models: readonly string[]
  /** Names of the plain services that clients may use. */
  readonly services: readonly string[]
}

/** A model that targets serve. */
export interface Model {
  readonly name: string
  /** Maximum number of prompt and generated tokens together. */
  readonly contextTokens: number
}

/** A plain service that targets serve. */
export interface Service {
  readonly name: string
  /** Whether calls are idempotent, so that a call may be retried when its outcome is unknown. */
  readonly repeatable: boolean
}

/** A target; its address and state come from the instance list. */
export interface Target {
  readonly name: string
  /** Name of the model that the target serves, or null if it serves a plain service. */
  readonly model: string | null
  /** Name of the plain service that the target serves, or null if it serves a model. */
  readonly service: string | null
  /** Maximum number of requests that the target runs at once. */
  readonly concurrency: number
  /** Whether the target rejects orders with an outdated fencing token. */
  readonly checksFencing: boolean
}

/** Everything that operators configure in the two lists, by name. */
export interface Configuration {
  readonly clients: ReadonlyMap<string, Client>
  readonly plans: ReadonlyMap<string, Plan>
  readonly models: ReadonlyMap<string, Model>
  readonly services: ReadonlyMap<string, Service>
  readonly targets: ReadonlyMap<string, Target>
}

const defaultBatchWeight = 1

/** Returns the batch weight of the plan of the client with this name, or 1 if the client or its plan is unknown. */
export function batchWeightOf (configuration: Configuration, clientName: string): number {
  const planName = configuration.clients.get(clientName)?.plan ?? ''
  return configuration.plans.get(planName)?.batchWeight ?? defaultBatchWeight
}

/** The configuration before the first edit. */
export const emptyConfiguration: Configuration = {
  clients: new Map(),
  plans: new Map(),
  models: new Map(),
  services: new Map(),
  targets: new Map()
}
