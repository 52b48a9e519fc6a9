/** One run of one policy in one scenario, on fresh engine stand-ins. */
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

/** Which work runs. */
export interface Work {
  readonly online: boolean
  readonly batch: boolean
}

/** Figures of a run. */
export interface PolicyFigures {
  readonly policy: string
  readonly timeToFirstToken: Distribution
  readonly timeBetweenTokens: Distribution
  /** Tokens a second of batch items that were completed. */
  readonly batchTokensPerSecond: number
  readonly onlineTokensPerSecond: number
  /** Part of the engines' batch tokens that were generated and thrown away, or computed again. */
  readonly wastedPart: number
  /** Milliseconds from a revocation to the end of its stream. */
  readonly revocation: Distribution
}

const seed = 20_261_203
const backlog = 160
const millisecondsPerSecond = 1_000

/** Runs a policy. */
export async function runPolicy (scenario: Scenario, policy: SendPolicy, work: Work): Promise<PolicyFigures> {
  const engines = await Promise.all(Array.from({ length: scenario.engines }, async () => {
    // What is admitted beyond the concurrency waits inside the engine, in its own order.
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

class PolicyRun {
  readonly #firstTokens: number[] = []
  readonly #gaps: number[] = []
  readonly #revocations: number[] = []
  #batchTokens = 0
  #onlineTokens = 0
  #stopped = false
  /** Whether the warm-up is over. */
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
    // What is still running at the end is neither finished nor wasted.
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
