/** A slot on which a second call follows the first one to the same target: the owner is told one outcome for both. */
import { SlotOutcome } from '@arbutusloft/policy'
import type { Slot } from './slot.js'

/** Outcomes that tell nothing of how the target answers. */
const outcomesWithoutAnswer: ReadonlySet<SlotOutcome> = new Set([SlotOutcome.Stopped, SlotOutcome.NotRun, SlotOutcome.Full])
/** Outcomes that tell that the target is no longer there. */
const absences: ReadonlySet<SlotOutcome> = new Set([SlotOutcome.Unreachable, SlotOutcome.Replaced])

/** Returns a slot for the second call, whose release reports the outcome of both. */
export function slotForSecondCall (slot: Slot, firstOutcome: SlotOutcome): Slot {
  return { ...slot, release: outcome => { slot.release(outcomeOfBoth(firstOutcome, outcome)) } }
}

/** Returns the outcome to report: a finished answer shows that the target does not crash under the prompt, however the other call ended. */
function outcomeOfBoth (first: SlotOutcome, second: SlotOutcome): SlotOutcome {
  if (absences.has(second)) {
    return second
  }
  return first === SlotOutcome.Finished || outcomesWithoutAnswer.has(second) ? first : second
}
