/** Releases the slot of a call that has ended, with an outcome that blames the target only for what the target has done. */
import { SlotOutcome } from '@arbutusloft/policy'
import type { Slot } from '../permits/slot.js'
import { slotOutcomeOf } from './call-outcome.js'
import type { EndedCall } from './call-outcome.js'
import type { RunningCall } from './target-call.js'
import type { TargetConnections } from './target-connections.js'
import { ConnectionFailure } from './transport.js'

/** Outcomes that speak against the target if it has closed or reset the connection itself. */
const interruptions: ReadonlySet<SlotOutcome> = new Set([SlotOutcome.Broken, SlotOutcome.Crashed])

/**
 * Releases the slot of a call that its caller did not stop; resolves when it is released. If the connection was closed or reset, that waits until
 * it is known whether the target did it or the way to it is cut; a further attempt need not wait.
 */
export async function releaseSlot (slot: Slot, call: RunningCall, ended: EndedCall, { dialer }: TargetConnections): Promise<void> {
  const outcome = slotOutcomeOf(ended)
  const isInterrupted = interruptions.has(outcome)
  // A target that has only reset the connection accepts others. One that crashes takes longer to start again.
  const lives = outcome === SlotOutcome.Crashed && call.failure === ConnectionFailure.Disconnected ? dialer.isListening(slot.target, call.endsAt) : false
  const isPathLost = isInterrupted && (call.failure === ConnectionFailure.RelayLost ||
    (call.failure === ConnectionFailure.Disconnected && dialer.canCheck && !await dialer.wasEndedByTarget(slot.target, call.via, call.endsAt)))
  // The silence of a relayed connection may be that of the peer.
  const isPeerSilent = outcome === SlotOutcome.Unreachable && call.via !== null
  const { evidence } = ended
  if (isPathLost || isPeerSilent) {
    slot.release(SlotOutcome.Stopped, evidence)
    return
  }
  slot.release(await lives ? SlotOutcome.Broken : outcome, evidence)
}
