/** The system's own policy, without the network between the holder of a permit and the owner of a target. */
import { DecisionKind, defaultBatchFeedbackOptions, PrefixIndex, rankTargets, TargetAdmission } from '@arbutusloft/policy'
import type { Decision } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import type { Permit, PolicyOptions, DispatchPolicy } from './send-policy.js'

/** Options of {@link PermitPolicy}. Mechanisms can be switched off to measure the effect of each. */
export interface PermitPolicyOptions extends PolicyOptions {
  readonly name: string
  /** Whether batch permits are revoked in favour of online requests. */
  readonly revokes: boolean
  /** Whether batch work is reduced when online latency exceeds its bounds. */
  readonly feedback: boolean
  /** Number of slots that batch work leaves free. */
  readonly headroom: number
}

/** A request that waits for a permit. */
interface PendingRequest {
  readonly resolve: (permit: Permit) => void
  readonly engine: number
}

const tickMilliseconds = 50
const maximumWaitMilliseconds = 600_000
const cost = { promptTokens: 32, completionTokens: 32 } as const
// Latency never exceeds an infinite threshold, so batch work is never reduced.
const noFeedback = { ...defaultBatchFeedbackOptions, reductionThreshold: Infinity }

/** Runs one admission control for each engine; rankTargets() selects the engine of each new request. */
export class PermitPolicy implements DispatchPolicy {
  readonly name: string
  readonly #admissions: readonly TargetAdmission[]
  readonly #pendingRequests = new Map<string, PendingRequest>()
  readonly #revocations = new Map<string, AbortController>()
  readonly #prefixIndex = new PrefixIndex()
  readonly #timer: NodeJS.Timeout
  /** Numbers the permits and rotates the candidates of new requests. */
  #counter = 0

  constructor (private readonly options: PermitPolicyOptions) {
    const { concurrency, headroom, feedback } = options
    this.name = options.name
    this.#admissions = Array.from({ length: options.engineCount }, (_, engine) => {
      return new TargetAdmission(String(engine), { concurrency, headroom, feedback: feedback ? defaultBatchFeedbackOptions : noFeedback })
    })
    this.#timer = setInterval(() => { this.#tick() }, tickMilliseconds)
  }

  async acquire (workClass: WorkClass, previousEngine: number | null): Promise<Permit> {
    const engine = previousEngine ?? this.#chooseEngine(workClass)
    this.#counter += 1
    const permitId = `permit-${this.#counter}`
    return await new Promise(resolve => {
      this.#pendingRequests.set(permitId, { resolve, engine })
      const request = { permit: permitId, holder: 'bench', workClass, client: workClass, cost, patience: maximumWaitMilliseconds, slack: 0, weight: 1 }
      this.#applyDecisions(this.#admissions[engine]?.request(request, Date.now()) ?? [])
    })
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #chooseEngine (workClass: WorkClass): number {
    const loads = this.#admissions.map(admission => admission.load())
    const candidates = loads.map(load => ({
      target: load.target,
      zone: '',
      expectedWait: load.expectedWait,
      // Running batch work counts for batch requests only: they go to the engine with the most free slots, while online
      // requests preempt batch work and so ignore it.
      occupied: load.online + load.waiting + (workClass === WorkClass.Batch ? load.batch : 0),
      concurrency: this.options.concurrency
    }))
    this.#counter += 1
    // rankTargets() keeps the order of candidates of equal cost, so rotating them spreads such requests over the engines.
    const rotated = [...candidates.slice(this.#counter % candidates.length), ...candidates.slice(0, this.#counter % candidates.length)]
    return Number(rankTargets({ blocks: [], zone: '', candidates: rotated }, this.#prefixIndex)[0]?.target ?? 0)
  }

  #tick (): void {
    for (const admission of this.#admissions) {
      this.#applyDecisions(admission.tick(Date.now()))
    }
  }

  /**
   * Applies grants and, if the policy revokes, revocations. Refusals are ignored: they would need a wait above
   * `maximumWaitMilliseconds`, which is longer than a run.
   */
  #applyDecisions (decisions: readonly Decision[]): void {
    for (const decision of decisions) {
      if (decision.kind === DecisionKind.Grant) {
        this.#grant(decision.permit)
      } else if (decision.kind === DecisionKind.Revoke && this.options.revokes) {
        this.#revocations.get(decision.permit)?.abort()
      }
    }
  }

  #grant (permitId: string): void {
    const pending = this.#pendingRequests.get(permitId)
    if (pending === undefined) {
      return
    }
    this.#pendingRequests.delete(permitId)
    const revocation = new AbortController()
    this.#revocations.set(permitId, revocation)
    pending.resolve({
      engine: pending.engine,
      revoked: revocation.signal,
      release: (timeToFirstToken, timeBetweenTokens) => {
        this.#revocations.delete(permitId)
        const outcome = { timeToFirstToken, timeBetweenTokens }
        this.#applyDecisions(this.#admissions[pending.engine]?.release(permitId, outcome, Date.now()) ?? [])
      }
    })
  }
}
