/** Power of two choices: of two targets drawn at random, the one where the first event is expected sooner. */
import { DecisionKind, FleetAdmission } from '@arbutusloft/policy'
import type { AnswerTiming, FleetTarget, SlotDecision, SlotOutcome, SlotRequest } from '@arbutusloft/policy'
import type { AdmissionPolicy } from '../admission-policy.js'
import { RandomStream } from '../simulation/random.js'

/** Lets the gateway's policy choose between two targets with a free slot, and leaves all to it if fewer are free. */
export class TwoChoicesAdmission implements AdmissionPolicy {
  readonly #admission = new FleetAdmission()
  readonly #random = new RandomStream(1)
  readonly #granted = new Map<string, string>()
  readonly #busy = new Map<string, number>()
  #targets: readonly FleetTarget[] = []

  setTargets (targets: readonly FleetTarget[], now: number): readonly SlotDecision[] {
    this.#targets = targets
    return this.#note(this.#admission.setTargets(targets, now))
  }

  request (request: SlotRequest, now: number): readonly SlotDecision[] {
    const free = this.#targets.filter(({ id, slots }) => (this.#busy.get(id) ?? 0) < slots && !request.excluded.includes(id)).map(({ id }) => id)
    if (free.length <= 2) {
      return this.#note(this.#admission.request(request, now))
    }
    const chosen = new Set([this.#draw(free), this.#draw(free)])
    const others = this.#targets.filter(({ id }) => !chosen.has(id)).map(({ id }) => id)
    return this.#note(this.#admission.request({ ...request, excluded: [...request.excluded, ...others] }, now))
  }

  release (permit: string, outcome: SlotOutcome, now: number): readonly SlotDecision[] {
    this.#forget(permit)
    return this.#note(this.#admission.release(permit, outcome, now))
  }

  recordTiming (permit: string, timing: AnswerTiming, now: number): void {
    this.#admission.recordTiming(permit, timing, now)
  }

  withdraw (permit: string): void {
    this.#admission.withdraw(permit)
  }

  tick (now: number): readonly SlotDecision[] {
    return this.#note(this.#admission.tick(now))
  }

  #draw (ids: readonly string[]): string {
    return ids[Math.floor(this.#random.uniform() * ids.length)] ?? ''
  }

  #note (decisions: readonly SlotDecision[]): readonly SlotDecision[] {
    for (const decision of decisions) {
      if (decision.kind === DecisionKind.Grant) {
        this.#granted.set(decision.permit, decision.target)
        this.#busy.set(decision.target, (this.#busy.get(decision.target) ?? 0) + 1)
      } else if (decision.kind === DecisionKind.Revoke) {
        this.#forget(decision.permit)
      }
    }
    return decisions
  }

  #forget (permit: string): void {
    const target = this.#granted.get(permit)
    if (target !== undefined) {
      this.#granted.delete(permit)
      this.#busy.set(target, Math.max(0, (this.#busy.get(target) ?? 0) - 1))
    }
  }
}
