/** Errors of the HTTP API, in the shape that OpenAI clients understand. */
import type { ServerResponse } from 'node:http'

/** Types of errors, as OpenAI names them. */
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

/** What is known of a request that was not answered. */
export const RunState = {
  /** No byte of the request can have reached a target, and nothing was kept of it. */
  NotRun: 'not-run',
  /** The request may have run; resend it with the same idempotency key. */
  OutcomeUnknown: 'outcome-unknown'
} as const

export type RunState = typeof RunState[keyof typeof RunState]

/** Parts of an error that most errors leave out. */
export interface ApiErrorDetails {
  /** Parameter at fault. */
  readonly parameter?: string
  readonly code?: string
  readonly run?: RunState
  /** Milliseconds after which a resend is sensible. */
  readonly retryAfterMilliseconds?: number
}

/** An error that is told to the caller. */
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

/** A request that is wrong as such; the message says what to mend. */
export function invalidRequest (message: string, parameter?: string): ApiError {
  return new ApiError(400, ApiErrorType.InvalidRequest, message, {
    run: RunState.NotRun,
    ...(parameter === undefined ? {} : { parameter })
  })
}

/** Something that is not there, or not the client's. */
export function notFound (message: string): ApiError {
  return new ApiError(404, ApiErrorType.NotFound, message, { run: RunState.NotRun })
}

const millisecondsPerSecond = 1_000

/** The error's body. */
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

/** Answers with the error, unless an answer has begun. */
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
