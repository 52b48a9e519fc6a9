/** Conversion of errors of the HTTP library into target errors. */
import { TargetError, TargetErrorCode } from '../target-error.js'

const connectionErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT'
])

const timeoutErrorCodes: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT'
])

/**
 * Converts a value that the HTTP library threw into a target error. Connection errors take precedence over an
 * aborted signal, because they prove that the request has not reached the target. Messages stay without the target's
 * address, because they are passed on to clients.
 */
export function toTargetError (error: unknown, signal: AbortSignal | undefined): TargetError {
  if (error instanceof TargetError) {
    return error
  }
  const message = error instanceof Error ? error.message : String(error)
  const code = findErrorCode(error)
  if (connectionErrorCodes.has(code)) {
    return new TargetError(TargetErrorCode.Unreachable, message, false, null, { cause: error })
  }
  if (signal?.aborted === true) {
    return new TargetError(TargetErrorCode.Aborted, message, true, null, { cause: error })
  }
  if (timeoutErrorCodes.has(code)) {
    return new TargetError(TargetErrorCode.TimedOut, message, true, null, { cause: error })
  }
  return new TargetError(TargetErrorCode.Interrupted, message, true, null, { cause: error })
}

function findErrorCode (error: unknown): string {
  if (!(error instanceof Error)) {
    return ''
  }
  const code = (error as NodeJS.ErrnoException).code
  if (typeof code === 'string' && code !== '') {
    return code
  }
  return error.cause === undefined ? '' : findErrorCode(error.cause)
}
