/** Interface of plain services, the targets that are not model engines. */
import type { Result } from 'ts-results'
import type { TargetError } from '../target-error.js'

/** A call to a plain service. */
export interface ServiceCall {
  /** Identifier of this dispatch, that is, of this attempt to send the call to a target; the service returns it in the header `x-dispatch-id`. */
  readonly dispatch: string
  readonly method: string
  /** Path with query, starting with a slash. */
  readonly path: string
  readonly contentType: string | null
  /** Idempotency key passed to the service, or null. */
  readonly idempotencyKey: string | null
  readonly body: Uint8Array | null
  readonly signal?: AbortSignal
}

/** A complete response of a plain service, whatever its status. */
export interface ServiceResponse {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** Client for plain services. One object serves all; each call takes the service's address as `ip:port`. */
export interface PlainService {
  /** Sends one call; resolves when the response is complete or the call has failed. */
  call: (address: string, call: ServiceCall) => Promise<Result<ServiceResponse, TargetError>>
  close: () => Promise<void>
}
