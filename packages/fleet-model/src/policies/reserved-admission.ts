/** Baseline: a fixed share of the targets for batch work; online requests wait in order of arrival on the others. */
import { WorkClass } from '@arbutusloft/protocol'
import type { FleetTarget, SlotDecision, SlotOutcome, SlotRequest } from '@arbutusloft/policy'
import type { AdmissionPolicy } from '../admission-policy.js'
import { FifoAdmission } from './fifo-admission.js'

/** Divides the targets between both classes of work. */
export class ReservedAdmission implements AdmissionPolicy {
  readonly #online = new FifoAdmission()
  readonly #batch = new FifoAdmission()

  /** @param batchShare share of the targets for batch work, from 0 to 1 */
  constructor (private readonly batchShare: number) {}

  setTargets (targets: readonly FleetTarget[]): readonly SlotDecision[] {
    const batchCount = Math.round(targets.length * this.batchShare)
    return [...this.#batch.setTargets(targets.slice(0, batchCount)), ...this.#online.setTargets(targets.slice(batchCount))]
  }

  request (request: SlotRequest): readonly SlotDecision[] {
    return (request.workClass === WorkClass.Online ? this.#online : this.#batch).request(request)
  }

  release (permit: string, outcome: SlotOutcome): readonly SlotDecision[] {
    return [...this.#online.release(permit, outcome), ...this.#batch.release(permit, outcome)]
  }

  withdraw (permit: string): void {
    this.#online.withdraw(permit)
    this.#batch.withdraw(permit)
  }

  tick (): readonly SlotDecision[] {
    return []
  }
}
