/** What a call tells of the target, for the owner of its slots. */
import { SlotOutcome } from '@arbutusloft/policy'
import { CallEnd } from './target-call.js'

/** Reason of a call that was broken off because the target sent nothing. */
export const silentReason = 'target silent'

/** The outcome of a call that its caller did not stop. */
export function outcomeOf (end: CallEnd, reason: string): SlotOutcome {
  switch (end) {
    case CallEnd.Complete:
      return SlotOutcome.Finished
    case CallEnd.NotExecuted:
      return SlotOutcome.Full
    case CallEnd.Unreachable:
      return SlotOutcome.Unreachable
    case CallEnd.Broken:
      return reason === silentReason ? SlotOutcome.Unreachable : SlotOutcome.Broken
  }
}
