/** Runs one policy in one scenario, on newly started engine stand-ins. */
import { Generation } from '@arbutusloft/daemon'
import { createHttpEngine, GenerationPath } from '@arbutusloft/adapters'
import type { Engine } from '@arbutusloft/adapters'
import { sample, sleep } from '@arbutusloft/development'
import { WorkClass } from '@arbutusloft/protocol'
import { startEngineStandIn } from '@arbutusloft/stand-ins'
import type { EngineStandIn } from '@arbutusloft/stand-ins'
import { computeDistribution } from '../util/distribution.js'
import type { Distribution } from '../util/distribution.js'
import { generateArrivalTimes, runOpenLoop } from '../util/open-loop.js'
import type { Permit, DispatchPolicy } from './policies/send-policy.js'
import type { Scenario } from './scenario.js'

/** Kinds of work that run. */
export interface WorkMix {
  readonly online: boolean
  readonly batch: boolean
}

/** Results of a run; times are in milliseconds. */
export interface PolicyResult {
  readonly policy: string
  readonly timeToFirstToken: Distribution
  readonly timeBetweenTokens: Distribution
  /** Tokens per second of completed batch items. */
  readonly batchTokensPerSecond: number
  readonly onlineTokensPerSecond: number
  /**
   * Lower bound of the tokens that were generated but not delivered, over the whole run including the warm-up, as a
   * fraction of the batch tokens delivered.
   */
  readonly wastedPart: number
  /** Times from the revocation of a permit to the end of its stream. */
  readonly revocation: Distribution
}

// The same seed for each policy, so that all policies get the same arrival times.
const seed = 20_261_203
// More than the engines run at once, so that batch work always waits.
const concurrentBatchItems = 160
const millisecondsPerSecond = 1_000

/** Starts the engines, runs the work under a policy and stops the engines. */
export async function runPolicy (scenario: Scenario, policy: DispatchPolicy, work: WorkMix): Promise<PolicyResult> {
  const engines = await Promise.all(Array.from({ length: scenario.engineCount }, async () => {
    // Requests beyond the concurrency wait in the queue of the engine, in order of arrival.
    return await startEngineStandIn({ model: sample.model, costs: scenario.costs, maximumSequences: scenario.concurrency })
  }))
  const adapter = createHttpEngine()
  const run = new PolicyRun(scenario, policy, adapter, engines)
  try {
    return await run.measure(work)
  } finally {
    policy.close()
    await adapter.close()
    await Promise.all(engines.map(async engine => { await engine.close() }))
  }
}

/** State and measured values of one run. */
class PolicyRun {
  readonly #timesToFirstToken: number[] = []
  readonly #timesBetweenTokens: number[] = []
  readonly #revocationTimes: number[] = []
  #batchTokens = 0
  #onlineTokens = 0
  #isStopped = false
  /** Whether values are recorded, that is, the warm-up is over. */
  #isMeasuring = false
  #startedItems = 0

  constructor (
    private readonly scenario: Scenario,
    private readonly policy: DispatchPolicy,
    private readonly adapter: Engine,
    private readonly engines: readonly EngineStandIn[]
  ) {}

  async measure (work: WorkMix): Promise<PolicyResult> {
    const { measuredMilliseconds, warmUpMilliseconds } = this.scenario
    if (work.batch) {
      for (let worker = 0; worker < concurrentBatchItems; worker++) {
        void this.#runBatchItems()
      }
    }
    const times = work.online ? generateArrivalTimes(seed, warmUpMilliseconds + measuredMilliseconds, this.scenario.onlineRequestsPerSecond) : []
    const online = runOpenLoop(times, async (index, latenessMilliseconds) => { await this.#runOnlineRequest(index, latenessMilliseconds) })
    await sleep(warmUpMilliseconds)
    const before = { at: performance.now(), batch: this.#batchTokens, online: this.#onlineTokens }
    this.#isMeasuring = true
    await sleep(measuredMilliseconds)
    const seconds = (performance.now() - before.at) / millisecondsPerSecond
    const batchTokens = this.#batchTokens - before.batch
    const onlineTokens = this.#onlineTokens - before.online
    await online
    this.#isStopped = true
    const generated = this.engines.reduce((sum, engine) => sum + engine.generated, 0)
    // Items in flight at the end are neither completed nor wasted; this is the upper bound of their tokens.
    const maximumInFlightTokens = concurrentBatchItems * this.scenario.batchTokens
    const deliveredTokens = this.#batchTokens + this.#onlineTokens
    return {
      policy: this.policy.name,
      timeToFirstToken: computeDistribution(this.#timesToFirstToken),
      timeBetweenTokens: computeDistribution(this.#timesBetweenTokens),
      batchTokensPerSecond: batchTokens / seconds,
      onlineTokensPerSecond: onlineTokens / seconds,
      wastedPart: Math.max(0, generated - deliveredTokens - maximumInFlightTokens) / Math.max(1, this.#batchTokens),
      revocation: computeDistribution(this.#revocationTimes)
    }
  }

  /**
   * Sends an online request and records its latency, including the time by which it started late. A request without a
   * token counts with the time until it ended.
   */
  async #runOnlineRequest (index: number, latenessMilliseconds: number): Promise<void> {
    const isMeasured = this.#isMeasuring
    const startedAt = performance.now() - latenessMilliseconds
    const arrivals: number[] = []
    const generation = this.#createGeneration(`slot ${index}`, this.scenario.onlineTokens, () => { arrivals.push(performance.now()) })
    const permit = await this.policy.acquire(WorkClass.Online, null)
    await this.#attempt(generation, permit)
    this.#onlineTokens += generation.deliveredTokens
    if (!isMeasured) {
      return
    }
    this.#timesToFirstToken.push((arrivals[0] ?? performance.now()) - startedAt)
    arrivals.slice(1).forEach((at, gap) => { this.#timesBetweenTokens.push(at - (arrivals[gap] ?? at)) })
  }

  /** Runs batch items one after another until the run stops; a revoked item resumes at its engine. */
  async #runBatchItems (): Promise<void> {
    while (!this.#isStopped) {
      this.#startedItems += 1
      const generation = this.#createGeneration(`dedication ${this.#startedItems}`, this.scenario.batchTokens, () => {})
      let previousEngine: number | null = null
      for (let done = false; !done && !this.#isStopped;) {
        const permit = await this.policy.acquire(WorkClass.Batch, previousEngine)
        done = await this.#attempt(generation, permit)
        previousEngine = permit.engine
      }
      this.#batchTokens += this.#isStopped ? 0 : generation.deliveredTokens
    }
  }

  /** Sends the request under a permit; returns false if the generation was revoked or failed. */
  async #attempt (generation: Generation, permit: Permit): Promise<boolean> {
    const address = this.engines[permit.engine]?.address ?? ''
    let revokedAt = 0
    const onRevoked = (): void => { revokedAt = performance.now() }
    permit.revoked.addEventListener('abort', onRevoked)
    const result = await generation.attempt({ target: String(permit.engine), address }, permit.revoked)
    permit.revoked.removeEventListener('abort', onRevoked)
    if (revokedAt > 0 && this.#isMeasuring) {
      this.#revocationTimes.push(performance.now() - revokedAt)
    }
    permit.release(generation.latencies.timeToFirstToken, generation.latencies.timeBetweenTokens)
    return result.ok
  }

  #createGeneration (prompt: string, tokens: number, onToken: () => void): Generation {
    return new Generation({
      engine: this.adapter,
      path: GenerationPath.Completion,
      body: { model: sample.model, prompt, max_tokens: tokens },
      onToken
    })
  }
}
