/** Look-ups that do not miss what another entry has just stored. */
import type { StreamFollower } from '@arbutusloft/daemon'
import { ApiError, ApiErrorType } from './api-error.js'

const catchUpMilliseconds = 2_000

/**
 * Looks a thing up; if it is not there, catches up with the log and looks again, since the
 * caller may have stored it through another entry a moment ago.
 */
export async function findFresh<T> (follower: StreamFollower, missing: ApiError, find: () => T | null): Promise<T> {
  const known = find()
  if (known !== null) {
    return known
  }
  const current = await follower.catchUp(catchUpMilliseconds)
  const found = find()
  if (found !== null) {
    return found
  }
  if (!current) {
    throw new ApiError(503, ApiErrorType.Unavailable, 'this cannot be looked up while the platform\'s log is out of reach', {
      retryAfterMilliseconds: catchUpMilliseconds
    })
  }
  throw missing
}
