/** Options of the engine stand-in. */

/** Costs of computing, in milliseconds. */
export interface EngineCosts {
  /** Each step, whatever it computes. */
  readonly stepMilliseconds: number
  /** Each running sequence in a step. */
  readonly sequenceMilliseconds: number
  /** Each thousand tokens of context of running sequences in a step. */
  readonly contextMilliseconds: number
  /** Each prompt token that is not cached. */
  readonly prefillMilliseconds: number
}

/** Options of the engine stand-in. */
export interface EngineOptions {
  readonly port: number
  readonly model: string
  readonly costs: EngineCosts
  /** Tokens of key-value memory. */
  readonly memoryTokens: number
  /** Sequences that run at once. */
  readonly sequences: number
  /** Prompt tokens computed in one step. */
  readonly prefillTokens: number
  /** Blocks that the prefix cache holds. */
  readonly cacheBlocks: number
  /** Milliseconds by which the load report lags. */
  readonly loadLagMilliseconds: number
  /** Milliseconds by which cache events lag. */
  readonly cacheLagMilliseconds: number
  /** Part of cache events that is lost. */
  readonly cacheGaps: number
  /** Milliseconds for which a stream without a reader can be resumed. */
  readonly resumeMilliseconds: number
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean
  /** Tokens of an answer, unless the request allows fewer; null varies by prompt. */
  readonly answerTokens: number | null
  /** Address of the weight store, or null to load models at once. */
  readonly weightStore: string | null
  readonly seed: number
}

export const defaultEngineOptions: EngineOptions = {
  port: 0,
  model: 'stylist-small',
  costs: { stepMilliseconds: 4, sequenceMilliseconds: 0.25, contextMilliseconds: 0.1, prefillMilliseconds: 0.05 },
  memoryTokens: 65_536,
  sequences: 64,
  prefillTokens: 512,
  cacheBlocks: 2_048,
  loadLagMilliseconds: 300,
  cacheLagMilliseconds: 500,
  cacheGaps: 0.05,
  resumeMilliseconds: 30_000,
  checksFencing: true,
  answerTokens: null,
  weightStore: null,
  seed: 1
}
