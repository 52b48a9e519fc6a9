/** Errors of the HTTP API, in the format of the OpenAI API. */
import type { ServerResponse } from 'node:http'

/** Error types, named as in the OpenAI API. */
export const ApiErrorType = {
  InvalidRequest: 'invalid_request_error',
  Authentication: 'authentication_error',
  Permission: 'permission_error',
  NotFound: 'not_found_error',
  RateLimit: 'rate_limit_error',
  Conflict: 'conflict_error',
  Unavailable: 'service_unavailable_error',
  Server: 'server_error'
} as const

export type ApiErrorType = typeof ApiErrorType[keyof typeof ApiErrorType]

/** What is known about the execution of a request that failed; sent as `x-arbutus-run`. */
export const ExecutionOutcome = {
  /** No byte of the request reached a target and nothing was stored, so it is safe to send again. */
  NotRun: 'not-run',
  /** The request may have been executed; a resend must carry the same idempotency key. */
  OutcomeUnknown: 'outcome-unknown'
} as const

export type ExecutionOutcome = typeof ExecutionOutcome[keyof typeof ExecutionOutcome]

/** Optional parts of an error. */
export interface ApiErrorDetails {
  /** Parameter of the request that caused the error. */
  readonly parameter?: string
  /** Machine-readable code, such as `model_not_found`. */
  readonly code?: string
  /** What is known about the execution of the request. */
  readonly run?: ExecutionOutcome
  /** Milliseconds to wait before a retry; sent as `retry-after` and `retry-after-ms`. */
  readonly retryAfterMilliseconds?: number
}

/** An error that is sent to the caller as the response. */
export class ApiError extends Error {
  override readonly name = 'ApiError'

  constructor (
    readonly status: number,
    readonly type: ApiErrorType,
    message: string,
    readonly details: ApiErrorDetails = {}
  ) {
    super(message)
  }
}

/** Creates the error for an invalid request; the message says what was expected. */
export function invalidRequest (message: string, parameter?: string): ApiError {
  return new ApiError(400, ApiErrorType.InvalidRequest, message, {
    run: ExecutionOutcome.NotRun,
    ...(parameter === undefined ? {} : { parameter })
  })
}

/** Creates the error for an object that does not exist or belongs to another client. */
export function notFound (message: string): ApiError {
  return new ApiError(404, ApiErrorType.NotFound, message, { run: ExecutionOutcome.NotRun })
}

const millisecondsPerSecond = 1_000

/** Returns the response body of an error. */
export function errorBody (error: ApiError): object {
  return {
    error: {
      message: error.message,
      type: error.type,
      param: error.details.parameter ?? null,
      code: error.details.code ?? null,
      ...(error.details.run === undefined ? {} : { run: error.details.run })
    }
  }
}

/** Sends an error response, or closes the connection if the response has already started. */
export function sendError (response: ServerResponse, error: ApiError): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const { run, retryAfterMilliseconds } = error.details
  if (run !== undefined) {
    response.setHeader('x-arbutus-run', run)
  }
  if (retryAfterMilliseconds !== undefined) {
    response.setHeader('retry-after', Math.max(1, Math.ceil(retryAfterMilliseconds / millisecondsPerSecond)))
    response.setHeader('retry-after-ms', Math.max(1, Math.ceil(retryAfterMilliseconds)))
  }
  response.writeHead(error.status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(errorBody(error)))
}
