/** Converts dispatch errors to errors of the API. */
import { DispatchErrorCode } from '@arbutusloft/daemon'
import type { DispatchError } from '@arbutusloft/daemon'
import { ApiError, ApiErrorType, ExecutionOutcome } from './api-error.js'

const statusBadGateway = 502
const statusUnavailable = 503

/** Returns the API error for a request that got no complete response from a target. */
export function toApiError (error: DispatchError): ApiError {
  const details = {
    run: error.notRun ? ExecutionOutcome.NotRun : ExecutionOutcome.OutcomeUnknown,
    code: error.code,
    ...(error.retryAfterMilliseconds === null ? {} : { retryAfterMilliseconds: error.retryAfterMilliseconds })
  }
  switch (error.code) {
    case DispatchErrorCode.Rejected:
      return new ApiError(error.status ?? statusBadGateway, ApiErrorType.InvalidRequest, error.message, details)
    case DispatchErrorCode.Busy:
    case DispatchErrorCode.NoTarget:
      return new ApiError(statusUnavailable, ApiErrorType.Unavailable, error.message, details)
    case DispatchErrorCode.Failed:
    case DispatchErrorCode.Diverged:
    case DispatchErrorCode.Cancelled:
      return new ApiError(statusBadGateway, ApiErrorType.Server, error.message, details)
  }
}
