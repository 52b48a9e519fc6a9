/** Look-ups in a fold that also find what another entry has just stored. */
import type { StreamFollower } from '@arbutusloft/daemon'
import { ApiError, ApiErrorType } from './api-error.js'

const catchUpTimeoutMilliseconds = 2_000

/**
 * Looks up an object. If it is missing, catches up with the log and looks again, because the caller may have stored
 * it through another entry a moment ago. Throws `missing` if it doesn't exist, a 503 error if the log is unreachable.
 */
export async function findWithCatchUp<T> (follower: StreamFollower, missing: ApiError, find: () => T | null): Promise<T> {
  const known = find()
  if (known !== null) {
    return known
  }
  const caughtUp = await follower.catchUp(catchUpTimeoutMilliseconds)
  const found = find()
  if (found !== null) {
    return found
  }
  if (!caughtUp) {
    throw new ApiError(503, ApiErrorType.Unavailable, 'this cannot be looked up while the platform\'s log is out of reach', {
      retryAfterMilliseconds: catchUpTimeoutMilliseconds
    })
  }
  throw missing
}
