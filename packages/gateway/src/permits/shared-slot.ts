/** A slot on which a second call follows the first one to the same target: the owner is told one outcome for both. */
import { SlotOutcome } from '@arbutusloft/policy'
import type { Slot } from './slot.js'

/** Outcomes that tell nothing of how the target answers. */
const outcomesWithoutAnswer: ReadonlySet<SlotOutcome> = new Set([SlotOutcome.Stopped, SlotOutcome.NotRun, SlotOutcome.Full])
/** Outcomes that tell that the target is no longer there. */
const absences: ReadonlySet<SlotOutcome> = new Set([SlotOutcome.Unreachable, SlotOutcome.Replaced])

/** Time from the end of an answer to its report, after which a crash reported meanwhile would seem to have come before the answer; the owner allows 300 ms, the way included. */
const maximumReportDelayMilliseconds = 200

/** Returns a slot for the second call, whose release reports the outcome of both. */
export function slotForSecondCall (slot: Slot, firstOutcome: SlotOutcome): Slot {
  const endedAt = performance.now()
  return {
    ...slot,
    release: (outcome, evidence) => {
      const isLate = performance.now() - endedAt > maximumReportDelayMilliseconds
      slot.release(outcomeOfBoth(isLate && firstOutcome === SlotOutcome.Finished ? SlotOutcome.Stopped : firstOutcome, outcome), evidence)
    }
  }
}

/** Returns the outcome to report: a finished answer shows that the target does not crash under the prompt, however the other call ended. */
function outcomeOfBoth (first: SlotOutcome, second: SlotOutcome): SlotOutcome {
  if (absences.has(second)) {
    return second
  }
  return first === SlotOutcome.Finished || outcomesWithoutAnswer.has(second) ? first : second
}
