/** Requests for slots, and their results. A slot lets its holder run one request on one target. */
import { RefusalReason } from '@arbutusloft/policy'
import type { AnswerTiming, QueueStanding, SlotOutcome, SlotRequest, SlotWait } from '@arbutusloft/policy'
import type { TargetEndpoint } from '../targets/target-registry.js'

/** What an answer has shown, apart from the outcome of its request. */
export interface AnswerEvidence {
  /** Whether it went well for so long that its target does not crash under the request. */
  readonly isSound: boolean
  /** Id of the last event of the answer that has arrived, from this target or from those before; 0 before the first. */
  readonly place: number
  /** Times of an answer that is complete and was not resumed, if they tell how fast its target is; otherwise omitted. */
  readonly timing?: AnswerTiming
}

/** A slot that this process holds. */
export interface Slot {
  /** Id of the permit under which the slot was granted. */
  readonly permit: string
  readonly target: TargetEndpoint
  /** Aborted when the owner revokes the slot; the holder must then stop the request and release the slot. */
  readonly revoked: AbortSignal
  /** Records that the target leaves, as it said in a response, so that no instance sends it another request. */
  markLeaving: () => void
  /**
   * Records the rate limit that the target named in its response, or that it named none.
   *
   * @param requestsPerSecond null for none
   * @param sentAt time at which the request was sent, in milliseconds since the epoch
   */
  recordRateLimit: (requestsPerSecond: number | null, sentAt: number) => void
  /** Records that the answer, which goes on, has gone well for so long that the target does not crash under what it has sent; `place` as in {@link AnswerEvidence}. */
  markSound: (place: number) => void
  /** Releases the slot; calls after the first one do nothing. */
  release: (outcome: SlotOutcome, evidence?: AnswerEvidence) => void
}

/** Result of a request for a slot. */
export type AcquireResult =
  | { readonly granted: true, readonly slot: Slot }
  | SlotRejection

/** No slot: the owner rejected the request, or its own holder withdrew it. */
export interface SlotRejection {
  readonly granted: false
  /** {@link RefusalReason.Busy} if the holder withdrew it. */
  readonly reason: RefusalReason
  /** Milliseconds until a slot is expected to be free or the prompt's quarantine is reviewed; 0 if the holder withdrew it. */
  readonly retryAfter: number
  /** Its place among the requests that wait, if the owner rejected it for that; left out where the deployment has no client accounts. */
  readonly standing?: QueueStanding
  /** Why it waited, as far as its holder knew, if the holder withdrew it; left out if the owner rejected it. */
  readonly wait?: SlotWait
}

/** Parameters of a request for a slot on a target of `service`; permit, holder and availability zone are filled in when it is sent. */
export type SlotDemand = Omit<SlotRequest, 'permit' | 'holder' | 'zone'> & { readonly service: string }

/** Returns the result of a request that its own holder withdrew. */
export function withdrawnAfter (wait: SlotWait): SlotRejection {
  return { granted: false, reason: RefusalReason.Busy, retryAfter: 0, wait }
}

/** Whether a batch request is rejected for good, so that its item has to begin anew. */
export function endsBatchRequest (reason: RefusalReason): boolean {
  return reason === RefusalReason.VersionGone || reason === RefusalReason.VersionUnknown
}
