/** Options of the engine stand-in and their defaults. */

/** Costs of one step of the engine, in milliseconds; the duration of a step is their sum. */
export interface EngineCosts {
  /** Fixed cost of a step. */
  readonly stepMilliseconds: number
  /** Cost of each running sequence. */
  readonly millisecondsPerSequence: number
  /** Cost of each thousand context tokens of the running sequences. */
  readonly millisecondsPerThousandContextTokens: number
  /** Cost of each prompt token that the step prefills; cached tokens cost nothing. */
  readonly millisecondsPerPrefilledToken: number
}

/** Options of the engine stand-in. */
export interface EngineOptions {
  readonly port: number
  readonly model: string
  readonly costs: EngineCosts
  /** Size of the key-value cache, in tokens. */
  readonly keyValueCacheTokens: number
  /** Maximum number of sequences that run at once. */
  readonly maximumSequences: number
  /** Maximum number of prompt tokens that one step prefills. */
  readonly maximumPrefillTokens: number
  /** Capacity of the prefix cache, in blocks. */
  readonly prefixCacheBlocks: number
  /** Delay until readers of the load report see a change, in milliseconds. */
  readonly loadLagMilliseconds: number
  /** Delay until readers of cache events see an event, in milliseconds. */
  readonly cacheLagMilliseconds: number
  /** Fraction of cache events that is lost, from 0 to 1. */
  readonly cacheEventLossFraction: number
  /** Time for which a stream can be resumed after its connection closed, in milliseconds. */
  readonly resumeMilliseconds: number
  /** Whether orders with a stale fencing token are rejected. */
  readonly checksFencing: boolean
  /** Length of every answer in tokens, unless the request allows fewer; null makes the length depend on the prompt. */
  readonly answerTokens: number | null
  /** Address of the weight store, or null to load models without delay. */
  readonly weightStore: string | null
  /** Seed of the random loss of cache events. */
  readonly seed: number
}

export const defaultEngineOptions: EngineOptions = {
  port: 0,
  model: 'stylist-small',
  costs: { stepMilliseconds: 4, millisecondsPerSequence: 0.25, millisecondsPerThousandContextTokens: 0.1, millisecondsPerPrefilledToken: 0.05 },
  keyValueCacheTokens: 65_536,
  maximumSequences: 64,
  maximumPrefillTokens: 512,
  prefixCacheBlocks: 2_048,
  loadLagMilliseconds: 300,
  cacheLagMilliseconds: 500,
  cacheEventLossFraction: 0.05,
  resumeMilliseconds: 30_000,
  checksFencing: true,
  answerTokens: null,
  weightStore: null,
  seed: 1
}
