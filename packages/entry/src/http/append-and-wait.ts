/** Appends records to the log for a caller who waits for the outcome. */
import { AppendErrorCode } from '@arbutusloft/daemon'
import type { LogWriter, StreamFollower } from '@arbutusloft/daemon'
import type { LogRecord } from '@arbutusloft/protocol'
import { ApiError, ApiErrorType, ExecutionOutcome } from './api-error.js'

const appendTimeoutMilliseconds = 5_000
const foldTimeoutMilliseconds = 5_000
const retryDelayMilliseconds = 5_000

/** Appends records and waits until the fold has applied them. Throws a 503 error that says whether they may be stored. */
export async function appendAndWait (
  writer: LogWriter,
  follower: StreamFollower,
  records: readonly LogRecord[]
): Promise<void> {
  const appended = await writer.append(records, appendTimeoutMilliseconds)
  if (appended.err) {
    const run = appended.val.code === AppendErrorCode.NotAppended ? ExecutionOutcome.NotRun : ExecutionOutcome.OutcomeUnknown
    throw unavailable('the platform\'s log is out of reach', run)
  }
  if (!await follower.waitFor(appended.val, foldTimeoutMilliseconds)) {
    throw unavailable('the request was stored, but what came of it is not known yet', ExecutionOutcome.OutcomeUnknown)
  }
}

function unavailable (message: string, run: ExecutionOutcome): ApiError {
  const advice = run === ExecutionOutcome.NotRun ? 'nothing was kept; send it again later' : 'send it again with the same Idempotency-Key'
  return new ApiError(503, ApiErrorType.Unavailable, `${message}; ${advice}`, { run, retryAfterMilliseconds: retryDelayMilliseconds })
}
