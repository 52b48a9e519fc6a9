/** Passes requests to the policy and its decisions to the holders, and knows which targets are really there and which instances reach them. */
import { DecisionKind } from '@arbutusloft/policy'
import type { SlotDecision, SlotOutcome, SlotRequest } from '@arbutusloft/policy'
import type { AdmissionPolicy } from '../admission-policy.js'
import type { SimulatedClock } from './clock.js'
import type { SlotHolder } from './slot-holder.js'
import type { Tally } from './tally.js'

/** Milliseconds between two calls of the policy's `tick`. */
const tickMilliseconds = 25
/** Milliseconds until a connection is refused, and until one that hangs is given up. */
const refusedConnectionMilliseconds = 2
const hangingConnectionMilliseconds = 120

/** Connects holders with the policy. */
export class SlotDesk {
  readonly #holders = new Map<string, SlotHolder>()
  /** Granted permits by target. */
  readonly #running = new Map<string, Set<string>>()
  readonly #targetOf = new Map<string, string>()
  readonly #instanceOf = new Map<string, string>()
  readonly #lostTargets = new Set<string>()
  readonly #cutInstances = new Set<string>()
  #isHanging = false
  #sequence = 0

  constructor (private readonly policy: AdmissionPolicy, private readonly clock: SimulatedClock, private readonly tally: Tally) {
    this.#scheduleTick()
  }

  /** Asks for a slot; returns the permit. */
  request (demand: Omit<SlotRequest, 'permit'>, holder: SlotHolder): string {
    this.#sequence += 1
    const permit = String(this.#sequence)
    this.#holders.set(permit, holder)
    this.#instanceOf.set(permit, demand.holder)
    this.apply(this.policy.request({ ...demand, permit }, this.clock.now))
    return permit
  }

  withdraw (permit: string): void {
    this.#holders.delete(permit)
    this.#instanceOf.delete(permit)
    this.policy.withdraw(permit, this.clock.now)
  }

  release (permit: string, outcome: SlotOutcome): void {
    this.#forget(permit)
    this.apply(this.policy.release(permit, outcome, this.clock.now))
  }

  /** Returns the milliseconds after which a connection of an instance to a target fails, or null if it is established. */
  connectionFailsAfter (instance: string, target: string): number | null {
    if (this.#cutInstances.has(instance)) {
      return this.#isHanging ? hangingConnectionMilliseconds : refusedConnectionMilliseconds
    }
    return this.#lostTargets.has(target) ? refusedConnectionMilliseconds : null
  }

  /** Whether an instance reaches all targets while others are cut off from them. */
  isBesideCut (instance: string): boolean {
    return this.#cutInstances.size > 0 && !this.#cutInstances.has(instance)
  }

  /** Cuts instances off from all targets, in place of those that were cut off before; breaks off everything that runs for them. */
  cut (instances: readonly string[], isHanging: boolean): void {
    this.#cutInstances.clear()
    instances.forEach(instance => this.#cutInstances.add(instance))
    this.#isHanging = isHanging
    for (const permit of [...this.#targetOf.keys()]) {
      if (this.#cutInstances.has(this.#instanceOf.get(permit) ?? '')) {
        this.#holders.get(permit)?.onTargetLost()
      }
    }
  }

  /** Breaks off everything that runs on a target, and lets it refuse connections until it is restored. */
  lose (target: string): void {
    this.#lostTargets.add(target)
    for (const permit of [...this.#running.get(target) ?? []]) {
      this.#holders.get(permit)?.onTargetLost()
    }
  }

  restore (target: string): void {
    this.#lostTargets.delete(target)
  }

  apply (decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      const holder = this.#holders.get(decision.permit)
      if (holder === undefined) {
        continue
      }
      switch (decision.kind) {
        case DecisionKind.Grant:
          this.#running.set(decision.target, (this.#running.get(decision.target) ?? new Set()).add(decision.permit))
          this.#targetOf.set(decision.permit, decision.target)
          holder.onGranted(decision.target)
          break
        case DecisionKind.Refuse:
          this.tally.refusals += 1
          this.#holders.delete(decision.permit)
          this.#instanceOf.delete(decision.permit)
          holder.onRefused(decision.retryAfter)
          break
        case DecisionKind.Revoke:
          this.tally.revocations += 1
          holder.onRevoked()
      }
    }
  }

  #forget (permit: string): void {
    this.#holders.delete(permit)
    this.#instanceOf.delete(permit)
    this.#running.get(this.#targetOf.get(permit) ?? '')?.delete(permit)
    this.#targetOf.delete(permit)
  }

  #scheduleTick (): void {
    this.clock.after(tickMilliseconds, () => {
      this.apply(this.policy.tick(this.clock.now))
      this.#scheduleTick()
    })
  }
}
