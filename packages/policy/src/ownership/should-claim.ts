/** Decides whether a batch process claims a job. */
import type { OwnerCandidate } from './owner-of.js'
import { ownerOf } from './owner-of.js'

/** What a batch process knows of a job and of the other batch processes. */
export interface ClaimContext {
  readonly job: string
  /** Owner according to the last claim in the log, or null if the job has none. */
  readonly owner: string | null
  /** The process that decides. */
  readonly ownId: string
  /** Batch processes on the instance list. */
  readonly liveProcesses: readonly OwnerCandidate[]
  /** Milliseconds since the log last contained a record of the owner. */
  readonly ownerIdleMilliseconds: number
  /** Milliseconds without a record after which an owner counts as failed. */
  readonly ownerTimeoutMilliseconds: number
}

/**
 * Returns whether the process should claim the job: the job has no owner, or its owner has left the instance list or timed
 * out, and the process is the preferred owner among the remaining ones. A wrong decision only
 * duplicates work: completions count only under the last claim.
 */
export function shouldClaim (context: ClaimContext): boolean {
  const { job, owner, ownId, liveProcesses, ownerIdleMilliseconds, ownerTimeoutMilliseconds } = context
  if (owner === ownId) {
    return false
  }
  const ownerLost = owner !== null &&
    (ownerIdleMilliseconds > ownerTimeoutMilliseconds || !liveProcesses.some(candidate => candidate.id === owner))
  if (owner !== null && !ownerLost) {
    return false
  }
  const candidates = liveProcesses.filter(candidate => candidate.id !== owner)
  return ownerOf(job, candidates, null)?.id === ownId
}
