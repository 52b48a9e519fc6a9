/** Maps the end of a target call to the slot outcome that is reported to the slot's owner. */
import { SlotOutcome } from '@arbutusloft/policy'
import type { AnswerEvidence } from '../permits/slot.js'
import { isSuccess, soundAnswerMilliseconds } from './answer-progress.js'
import { CallOutcome } from './target-call.js'

/** Abort reason of a call whose target sent no data for too long. */
export const unresponsiveReason = 'target silent'

/** Status of a request that the target ran and that failed. */
export const failedStatus = 500

/** Time after which a connection without an answer was not just rejected by a target that has too many of them: several round trips between availability zones. */
const acceptedMilliseconds = 25

/** How a call ended. Times are in milliseconds since the epoch. */
export interface EndedCall {
  readonly end: CallOutcome
  readonly reason: string
  /** Status of the response, or null if none arrived. */
  readonly status: number | null
  readonly sentAt: number
  /** Time of the first data of the response's body, or null if none arrived. */
  readonly firstDataAt: number | null
  readonly evidence: AnswerEvidence
  readonly endedAt: number
}

/** Returns the outcome of a call that its caller did not stop. */
export function slotOutcomeOf (call: EndedCall): SlotOutcome {
  switch (call.end) {
    case CallOutcome.Complete:
    case CallOutcome.EndUnknown:
      return outcomeOfAnswer(call)
    case CallOutcome.NotExecuted:
      return SlotOutcome.Full
    case CallOutcome.Misdirected:
      return SlotOutcome.Replaced
    case CallOutcome.Unreachable:
      return SlotOutcome.Unreachable
    case CallOutcome.NoPath:
      return SlotOutcome.NotRun
    case CallOutcome.Disconnected:
      return mayHaveCrashed(call) ? SlotOutcome.Crashed : SlotOutcome.Broken
    case CallOutcome.Broken:
      return call.reason === unresponsiveReason ? SlotOutcome.Unreachable : SlotOutcome.Broken
  }
}

function outcomeOfAnswer ({ status, firstDataAt }: EndedCall): SlotOutcome {
  if (status === failedStatus) {
    return SlotOutcome.Failed
  }
  return isSuccess(status) && firstDataAt !== null ? SlotOutcome.Finished : SlotOutcome.Unsuccessful
}

/** Whether the target may have crashed under the request: it had accepted the request, and its answer had not gone well for some time. */
function mayHaveCrashed ({ status, sentAt, firstDataAt, endedAt }: EndedCall): boolean {
  if (firstDataAt !== null) {
    return endedAt - firstDataAt < soundAnswerMilliseconds
  }
  return status !== null || endedAt - sentAt >= acceptedMilliseconds
}
