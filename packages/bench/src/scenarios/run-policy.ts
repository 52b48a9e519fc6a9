/** Runs one policy in one scenario, on newly started engine stand-ins. */
import { Generation } from '@arbutusloft/daemon'
import { createHttpEngine, GenerationPath } from '@arbutusloft/adapters'
import type { Engine } from '@arbutusloft/adapters'
import { pause, sample } from '@arbutusloft/development'
import { WorkClass } from '@arbutusloft/protocol'
import { startEngineStandIn } from '@arbutusloft/stand-ins'
import type { EngineStandIn } from '@arbutusloft/stand-ins'
import { distributionOf } from '../util/distribution.js'
import type { Distribution } from '../util/distribution.js'
import { arrivalTimes, runOpenLoop } from '../util/open-loop.js'
import type { Lease, SendPolicy } from './policies/send-policy.js'
import type { Scenario } from './scenario.js'

/** Kinds of work that run. */
export interface Work {
  readonly online: boolean
  readonly batch: boolean
}

/** Results of a run; times are in milliseconds. */
export interface PolicyFigures {
  readonly policy: string
  readonly timeToFirstToken: Distribution
  readonly timeBetweenTokens: Distribution
  /** Tokens per second of completed batch items. */
  readonly batchTokensPerSecond: number
  readonly onlineTokensPerSecond: number
  /** Tokens that the engines generated and that were discarded, or generated again, as a fraction of the batch tokens delivered. */
  readonly wastedPart: number
  /** Time from the revocation of a permit to the end of its stream. */
  readonly revocation: Distribution
}

const seed = 20_261_203
const backlog = 160
const millisecondsPerSecond = 1_000

/** Starts the engines, runs the work under a policy and stops the engines. */
export async function runPolicy (scenario: Scenario, policy: SendPolicy, work: Work): Promise<PolicyFigures> {
  const engines = await Promise.all(Array.from({ length: scenario.engines }, async () => {
    // Requests beyond the concurrency wait in the queue of the engine, in order of arrival.
    return await startEngineStandIn({ model: sample.model, costs: scenario.costs, sequences: scenario.concurrency })
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
  readonly #firstTokens: number[] = []
  readonly #gaps: number[] = []
  readonly #revocations: number[] = []
  #batchTokens = 0
  #onlineTokens = 0
  #stopped = false
  /** Whether values are recorded, that is, the warm-up is over. */
  #counts = false
  #item = 0

  constructor (
    private readonly scenario: Scenario,
    private readonly policy: SendPolicy,
    private readonly adapter: Engine,
    private readonly engines: readonly EngineStandIn[]
  ) {}

  async measure (work: Work): Promise<PolicyFigures> {
    const { milliseconds, warmUpMilliseconds } = this.scenario
    if (work.batch) {
      for (let lane = 0; lane < backlog; lane++) {
        void this.#batchLane()
      }
    }
    const times = work.online ? arrivalTimes(seed, warmUpMilliseconds + milliseconds, this.scenario.rate) : []
    const online = runOpenLoop(times, async (index, lateness) => { await this.#online(index, lateness) })
    await pause(warmUpMilliseconds)
    const before = { at: performance.now(), batch: this.#batchTokens, online: this.#onlineTokens }
    this.#counts = true
    await pause(milliseconds)
    const seconds = (performance.now() - before.at) / millisecondsPerSecond
    const batchTokens = this.#batchTokens - before.batch
    const onlineTokens = this.#onlineTokens - before.online
    await online
    this.#stopped = true
    const generated = this.engines.reduce((sum, engine) => sum + engine.generated, 0)
    // Items in flight at the end are neither completed nor wasted; this is the upper bound of their tokens.
    const open = backlog * this.scenario.batchTokens
    const useful = this.#batchTokens + this.#onlineTokens
    return {
      policy: this.policy.name,
      timeToFirstToken: distributionOf(this.#firstTokens),
      timeBetweenTokens: distributionOf(this.#gaps),
      batchTokensPerSecond: batchTokens / seconds,
      onlineTokensPerSecond: onlineTokens / seconds,
      wastedPart: Math.max(0, generated - useful - open) / Math.max(1, this.#batchTokens),
      revocation: distributionOf(this.#revocations)
    }
  }

  /** Sends an online request and records its latency, with the time by which it started late. */
  async #online (index: number, lateness: number): Promise<void> {
    const counts = this.#counts
    const startedAt = performance.now() - lateness
    const arrivals: number[] = []
    const generation = this.#generation(`slot ${index}`, this.scenario.onlineTokens, () => { arrivals.push(performance.now()) })
    const lease = await this.policy.acquire(WorkClass.Online, null)
    await this.#attempt(generation, lease)
    this.#onlineTokens += generation.delivered
    if (!counts) {
      return
    }
    this.#firstTokens.push((arrivals[0] ?? performance.now()) - startedAt)
    arrivals.slice(1).forEach((at, gap) => { this.#gaps.push(at - (arrivals[gap] ?? at)) })
  }

  /** Runs batch items one after another until the run stops; a revoked item resumes at its engine. */
  async #batchLane (): Promise<void> {
    while (!this.#stopped) {
      this.#item += 1
      const generation = this.#generation(`dedication ${this.#item}`, this.scenario.batchTokens, () => {})
      let resumeAt: number | null = null
      for (let done = false; !done && !this.#stopped;) {
        const lease = await this.policy.acquire(WorkClass.Batch, resumeAt)
        done = await this.#attempt(generation, lease)
        resumeAt = lease.engine
      }
      this.#batchTokens += this.#stopped ? 0 : generation.delivered
    }
  }

  /** Sends the request under a permit; returns false if the generation was revoked or failed. */
  async #attempt (generation: Generation, lease: Lease): Promise<boolean> {
    const address = this.engines[lease.engine]?.address ?? ''
    let revokedAt = 0
    const onRevoked = (): void => { revokedAt = performance.now() }
    lease.revoked.addEventListener('abort', onRevoked)
    const result = await generation.attempt({ target: String(lease.engine), address }, lease.revoked)
    lease.revoked.removeEventListener('abort', onRevoked)
    if (revokedAt > 0 && this.#counts) {
      this.#revocations.push(performance.now() - revokedAt)
    }
    lease.release(generation.times.timeToFirstToken, generation.times.timeBetweenTokens)
    return result.ok
  }

  #generation (prompt: string, tokens: number, onToken: () => void): Generation {
    return new Generation({
      engine: this.adapter,
      path: GenerationPath.Completion,
      body: { model: sample.model, prompt, max_tokens: tokens },
      onToken
    })
  }
}
