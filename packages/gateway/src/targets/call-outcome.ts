/** Maps the end of a target call to the slot outcome that is reported to the slot's owner. */
import { SlotOutcome } from '@arbutusloft/policy'
import { CallOutcome } from './target-call.js'

/** Abort reason of a call whose target sent no data for too long. */
export const unresponsiveReason = 'target silent'

/** Status of a request that the target ran and that failed. */
export const failedStatus = 500

/** Returns the outcome of a call that its caller did not stop; `status` is that of the response, or null if none arrived. */
export function slotOutcomeOf (outcome: CallOutcome, reason: string, status: number | null): SlotOutcome {
  switch (outcome) {
    case CallOutcome.Complete:
      return status === failedStatus ? SlotOutcome.Failed : SlotOutcome.Finished
    case CallOutcome.NotExecuted:
      return SlotOutcome.Full
    case CallOutcome.Misdirected:
      return SlotOutcome.Replaced
    case CallOutcome.Unreachable:
      return SlotOutcome.Unreachable
    case CallOutcome.Disconnected:
      return SlotOutcome.Broken
    case CallOutcome.Broken:
      return reason === unresponsiveReason ? SlotOutcome.Unreachable : SlotOutcome.Broken
  }
}
