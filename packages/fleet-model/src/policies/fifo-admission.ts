/** Baseline: one queue for everything, in order of arrival; nothing is refused or revoked. */
import { DecisionKind } from '@arbutusloft/policy'
import type { FleetTarget, SlotDecision, SlotOutcome, SlotRequest } from '@arbutusloft/policy'
import type { AdmissionPolicy } from '../admission-policy.js'

/** Grants slots in the order of the requests, on the target with the most free ones. */
export class FifoAdmission implements AdmissionPolicy {
  #targets = new Map<string, FleetTarget>()
  readonly #granted = new Map<string, string>()
  readonly #counts = new Map<string, number>()
  #queue: SlotRequest[] = []

  setTargets (targets: readonly FleetTarget[]): readonly SlotDecision[] {
    this.#targets = new Map(targets.map(target => [target.id, target]))
    return this.#grantWaiting()
  }

  request (request: SlotRequest): readonly SlotDecision[] {
    this.#queue.push(request)
    return this.#grantWaiting()
  }

  release (permit: string, _outcome: SlotOutcome): readonly SlotDecision[] {
    const target = this.#granted.get(permit)
    if (target !== undefined) {
      this.#granted.delete(permit)
      this.#counts.set(target, (this.#counts.get(target) ?? 0) - 1)
    }
    return this.#grantWaiting()
  }

  withdraw (permit: string): void {
    this.#queue = this.#queue.filter(request => request.permit !== permit)
  }

  tick (): readonly SlotDecision[] {
    return []
  }

  #grantWaiting (): readonly SlotDecision[] {
    const decisions: SlotDecision[] = []
    for (let request = this.#queue[0]; request !== undefined; request = this.#queue[0]) {
      const target = this.#freest()
      if (target === null) {
        break
      }
      this.#queue.shift()
      const { permit, holder } = request
      this.#granted.set(permit, target)
      this.#counts.set(target, (this.#counts.get(target) ?? 0) + 1)
      decisions.push({ kind: DecisionKind.Grant, permit, holder, target, address: '' })
    }
    return decisions
  }

  #freest (): string | null {
    let best: string | null = null
    let mostFree = 0
    for (const { id, slots } of this.#targets.values()) {
      const free = slots - (this.#counts.get(id) ?? 0)
      if (free > mostFree) {
        best = id
        mostFree = free
      }
    }
    return best
  }
}
