/** Maps the end of a target call to the slot outcome that is reported to the slot's owner. */
import { SlotOutcome } from '@arbutusloft/policy'
import { CallEnd } from './target-call.js'

/** Abort reason of a call whose target sent no data for too long. */
export const silentReason = 'target unresponsive'

/** Status of a request that the target ran and that failed. */
export const failedStatus = 500

/** Returns the outcome of a call that its caller did not stop; `status` is that of the response, or null if none arrived. */
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
