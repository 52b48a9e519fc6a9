/** When a batch process claims a job. */
import type { OwnerCandidate } from './owner-of.js'
import { ownerOf } from './owner-of.js'

/** What a batch process knows when it considers a job. */
export interface ClaimSituation {
  readonly job: string
  /** Owner by the last claim in the log, or null. */
  readonly owner: string | null
  /** The considering process. */
  readonly self: string
  /** Batch processes on the instance list. */
  readonly live: readonly OwnerCandidate[]
  /** Milliseconds since the log last showed a record of the owner. */
  readonly ownerSilence: number
  /** Milliseconds of silence after which an owner counts as lost. */
  readonly ownerTimeout: number
}

/**
 * Whether the process should claim the job: it is the preferred owner among those
 * that can be, and the present owner has left the list or gone silent. A wrong
 * answer wastes work but breaks nothing, since completions count under the last claim only.
 */
export function shouldClaim (situation: ClaimSituation): boolean {
  const { job, owner, self, live, ownerSilence, ownerTimeout } = situation
  if (owner === self) {
    return false
  }
  const ownerLost = owner !== null &&
    (ownerSilence > ownerTimeout || !live.some(candidate => candidate.id === owner))
  if (owner !== null && !ownerLost) {
    return false
  }
  const candidates = live.filter(candidate => candidate.id !== owner)
  return ownerOf(job, candidates, null)?.id === self
}
