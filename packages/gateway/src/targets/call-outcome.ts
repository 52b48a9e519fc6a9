/** What a call tells of the target, for the owner of its slots. */
import { SlotOutcome } from '@arbutusloft/policy'
import { CallEnd } from './target-call.js'

/** Reason of a call that was broken off because the target sent nothing. */
export const silentReason = 'target silent'

/** Status of a target that ran a request and failed. */
export const failedStatus = 500

/** The outcome of a call that its caller did not stop; `status` is that of its answer, or null. */
export function outcomeOf (end: CallEnd, reason: string, status: number | null): SlotOutcome {
  switch (end) {
    case CallEnd.Complete:
      return status === failedStatus ? SlotOutcome.Failed : SlotOutcome.Finished
    case CallEnd.NotExecuted:
      return SlotOutcome.Full
    case CallEnd.Unreachable:
      return SlotOutcome.Unreachable
    case CallEnd.Broken:
      return reason === silentReason ? SlotOutcome.Unreachable : SlotOutcome.Broken
  }
}
