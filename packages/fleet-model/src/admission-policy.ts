/** What the model needs of an admission policy; `FleetAdmission` of the policy package is one. */
import type { FleetTarget, SlotDecision, SlotOutcome, SlotRequest } from '@arbutusloft/policy'

/** Grants slots of targets. All times are in milliseconds since the epoch. */
export interface AdmissionPolicy {
  setTargets: (targets: readonly FleetTarget[], now: number) => readonly SlotDecision[]
  /** Decides on a request; without a decision it waits. */
  request: (request: SlotRequest, now: number) => readonly SlotDecision[]
  release: (permit: string, outcome: SlotOutcome, now: number) => readonly SlotDecision[]
  /** Removes a waiting request. */
  withdraw: (permit: string, now: number) => void
  /** Decides anew on waiting requests; called every 25 ms. */
  tick: (now: number) => readonly SlotDecision[]
}
