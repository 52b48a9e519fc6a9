/** What the model needs of an admission policy; `FleetAdmission` of the policy package is one. */
import type { AnswerTiming, FleetTarget, SlotDecision, SlotOutcome, SlotRequest } from '@arbutusloft/policy'

/** Grants slots of targets. All times are in milliseconds since the epoch. */
export interface AdmissionPolicy {
  setTargets: (targets: readonly FleetTarget[], now: number) => readonly SlotDecision[]
  /** Decides on a request; without a decision it waits. */
  request: (request: SlotRequest, now: number) => readonly SlotDecision[]
  release: (permit: string, outcome: SlotOutcome, now: number) => readonly SlotDecision[]
  /** Receives the times of a complete answer just before its slot is released; omitted if the policy makes no use of them. */
  recordTiming?: (permit: string, timing: AnswerTiming, now: number) => void
  /** Removes a waiting request. */
  withdraw: (permit: string, now: number) => void
  /** Decides anew on waiting requests; called every 25 ms. */
  tick: (now: number) => readonly SlotDecision[]
}
