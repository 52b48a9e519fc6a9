/** Passes requests to the policy and its decisions to the holders, and knows which targets are really there and which instances reach them. */
import { DecisionKind } from '@arbutusloft/policy'
import type { AnswerTiming, FleetTarget, SlotDecision, SlotOutcome, SlotRequest } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import type { AdmissionPolicy } from '../admission-policy.js'
import type { FleetLoad } from '../fleet-load.js'
import type { SimulatedClock } from './clock.js'
import type { Instance } from './instance.js'
import type { SlotHolder } from './slot-holder.js'
import type { Tally } from './tally.js'

/** Milliseconds between two calls of the policy's `tick`. */
const tickMilliseconds = 25
/** Milliseconds until a connection is refused, and until one that hangs is given up. */
const refusedConnectionMilliseconds = 2
const hangingConnectionMilliseconds = 120

/** A target of the model. */
export type SimulatedTarget = FleetTarget & { readonly speed: number }

/** Connects holders with the policy. */
export class SlotDesk {
  readonly #holders = new Map<string, SlotHolder>()
  /** Granted permits by target. */
  readonly #running = new Map<string, Set<string>>()
  readonly #targetOf = new Map<string, string>()
  readonly #instanceOf = new Map<string, string>()
  readonly #demands = new Map<string, Pick<SlotRequest, 'zone' | 'workClass'>>()
  readonly #targets: ReadonlyMap<string, SimulatedTarget>
  readonly #lostTargets = new Set<string>()
  readonly #cutInstances = new Set<string>()
  #isHanging = false
  #sequence = 0

  constructor (private readonly policy: AdmissionPolicy, private readonly clock: SimulatedClock, private readonly tally: Tally, private readonly load: FleetLoad, targets: readonly SimulatedTarget[]) {
    this.#targets = new Map(targets.map(target => [target.id, target]))
    this.#scheduleTick()
  }

  /** Asks for a slot; returns the permit. */
  request (demand: Omit<SlotRequest, 'permit'>, holder: SlotHolder): string {
    this.#sequence += 1
    const permit = String(this.#sequence)
    this.#holders.set(permit, holder)
    this.#instanceOf.set(permit, demand.holder)
    this.#demands.set(permit, demand)
    this.apply(this.policy.request({ ...demand, permit }, this.clock.now))
    return permit
  }

  withdraw (permit: string): void {
    this.#holders.delete(permit)
    this.#instanceOf.delete(permit)
    this.policy.withdraw(permit, this.clock.now)
  }

  /** @param timing times of an answer that is complete and was not resumed, else null */
  release (permit: string, outcome: SlotOutcome, timing: AnswerTiming | null = null): void {
    this.#forget(permit)
    if (timing !== null) {
      this.policy.recordTiming?.(permit, timing, this.clock.now)
    }
    this.apply(this.policy.release(permit, outcome, this.clock.now))
  }

  /** Returns the milliseconds that a target takes for a millisecond of work at the usual speed, by its speed and the slots in use. */
  paceOf (target: string): number {
    const busy = this.#running.get(target)?.size ?? 1
    return (1 + (this.load.slowdownPerSlot ?? 0) * (busy - 1)) / (this.#targets.get(target)?.speed ?? 1)
  }

  /** Returns the milliseconds between an instance and a target, both ways. */
  roundTripOf ({ zone }: Instance, target: string): number {
    return this.#targets.get(target)?.zone === zone ? 0 : (this.load.zones?.crossMilliseconds ?? 0) * 2
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
          this.#countGrant(decision.permit, decision.target)
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

  #countGrant (permit: string, target: string): void {
    const demand = this.#demands.get(permit)
    const isCrossZone = demand !== undefined && demand.zone !== this.#targets.get(target)?.zone
    const bytes = demand?.workClass === WorkClass.Online ? this.load.zones?.bytesOfRequest : this.load.zones?.bytesOfItem
    this.tally.addGrant(isCrossZone, isCrossZone ? bytes ?? 0 : 0)
  }

  #forget (permit: string): void {
    this.#demands.delete(permit)
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
