/** Plain services beside the model engines. */
import type { Result } from 'ts-results'
import type { TargetError } from '../target-error.js'

/** A call to a plain service. */
export interface ServiceCall {
  /** Identifier of this dispatch, echoed by the service. */
  readonly dispatch: string
  readonly method: string
  /** Path with query, beginning with a slash. */
  readonly path: string
  readonly contentType: string | null
  /** Key by which the service counts executions, or null. */
  readonly idempotencyKey: string | null
  readonly body: Uint8Array | null
  readonly signal?: AbortSignal
}

/** A whole answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** A plain service. One object serves all; calls name the address as `ip:port`. */
export interface PlainService {
  call: (address: string, call: ServiceCall) => Promise<Result<ServiceAnswer, TargetError>>
  close: () => Promise<void>
}
