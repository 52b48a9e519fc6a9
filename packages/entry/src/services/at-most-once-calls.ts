/** Non-idempotent calls: for each idempotency key, at most one call is sent to a target, by whichever entry. */
import { AppendErrorCode } from '@arbutusloft/daemon'
import type { LogWriter, StreamFollower } from '@arbutusloft/daemon'
import type { ServiceResponse } from '@arbutusloft/adapters'
import { createIdentifier, RecordType } from '@arbutusloft/protocol'
import type { CallIntended } from '@arbutusloft/protocol'
import type { CallState, LedgerFold } from '@arbutusloft/state'
import type { ReplicatedLedgerWriter } from '../ledger/replicated-ledger-writer.js'
import { ApiError, ApiErrorType, ExecutionOutcome } from '../http/api-error.js'

/** Options of {@link AtMostOnceCalls}. */
export interface AtMostOnceCallsOptions {
  readonly fold: LedgerFold
  readonly follower: StreamFollower
  /** Writer of the ledger. */
  readonly writer: LogWriter
  readonly ledger: ReplicatedLedgerWriter
}

/** A call, identified by client, service and idempotency key. */
export interface AtMostOnceCall {
  readonly client: string
  readonly service: string
  readonly idempotencyKey: string
  /** Hash of method, path and body, by which the reuse of a key for another call is detected. */
  readonly digest: string
}

/** Outcome of sending a call. */
export interface SendResult {
  /** The service's response, or null without one. */
  readonly response: ServiceResponse | null
  /** True only if no byte of the call can have reached a target. */
  readonly notRun: boolean
  /** Reason why there is no response; empty with one. */
  readonly message: string
}

const intentTimeoutMilliseconds = 3_000
const completionTimeoutMilliseconds = 2_000
const retryDelayMilliseconds = 2_000

/**
 * Runs each call at most once. Records an intent in the ledger, sends the call only after the fold shows that this
 * intent came first, and records the response. A call whose intent has neither a response nor a withdrawal is never
 * sent again by any entry.
 */
export class AtMostOnceCalls {
  /** Calls in flight at this entry; a resend in the meantime gets the same response. */
  readonly #inFlight = new Map<string, Promise<ServiceResponse>>()

  constructor (private readonly options: AtMostOnceCallsOptions) {}

  /** Runs the call, or returns the recorded response if its key was used before. Throws an {@link ApiError} if there is no response, or if the key was used for another call. */
  async run (call: AtMostOnceCall, send: () => Promise<SendResult>): Promise<ServiceResponse> {
    const key = JSON.stringify([call.client, call.service, call.idempotencyKey, call.digest])
    const inFlight = this.#inFlight.get(key)
    if (inFlight !== undefined) {
      return await inFlight
    }
    const running = this.#runOnce(call, send)
    this.#inFlight.set(key, running)
    try {
      return await running
    } finally {
      this.#inFlight.delete(key)
    }
  }

  async #runOnce (call: AtMostOnceCall, send: () => Promise<SendResult>): Promise<ServiceResponse> {
    const known = this.#findCall(call)
    if (known !== null) {
      return recordedResponse(known, call)
    }
    const attempt = createIdentifier('attempt')
    await this.#recordIntent(call, attempt)
    const firstCall = this.#findCall(call)
    if (firstCall?.attempt !== attempt) {
      return recordedResponse(firstCall, call)
    }
    const result = await send()
    return await this.#recordOutcome(call, attempt, result)
  }

  #findCall (call: AtMostOnceCall): CallState | null {
    return this.options.fold.findCall(call.client, call.service, call.idempotencyKey)
  }

  /** Records the intent and waits until the fold has applied it. Otherwise withdraws an intent that may be in the log, and throws, so that nothing is sent. */
  async #recordIntent (call: AtMostOnceCall, attempt: string): Promise<void> {
    const record: CallIntended = { type: RecordType.CallIntended, ...call, attempt }
    const appended = await this.options.writer.append([record], intentTimeoutMilliseconds)
    const folded = appended.ok && await this.options.follower.waitFor(appended.val, intentTimeoutMilliseconds)
    if (folded) {
      return
    }
    if (appended.ok || appended.val.code === AppendErrorCode.Unknown) {
      this.#withdrawIntent(call, attempt)
    }
    throw new ApiError(503, ApiErrorType.Unavailable, 'calls that may not be repeated wait for the platform\'s log; send it again later', {
      run: ExecutionOutcome.NotRun,
      retryAfterMilliseconds: retryDelayMilliseconds
    })
  }

  async #recordOutcome (call: AtMostOnceCall, attempt: string, result: SendResult): Promise<ServiceResponse> {
    if (result.response === null) {
      if (result.notRun) {
        this.#withdrawIntent(call, attempt)
      }
      throw new ApiError(result.notRun ? 503 : 502, ApiErrorType.Unavailable, result.message, {
        run: result.notRun ? ExecutionOutcome.NotRun : ExecutionOutcome.OutcomeUnknown,
        ...(result.notRun ? { retryAfterMilliseconds: retryDelayMilliseconds } : {})
      })
    }
    const { client, service, idempotencyKey } = call
    const record = { type: RecordType.CallCompleted, client, service, idempotencyKey, attempt, ...result.response } as const
    // The record also charges the client, so the log gets some time to acknowledge it before the caller has the response.
    await this.options.ledger.append(record, completionTimeoutMilliseconds)
    return result.response
  }

  #withdrawIntent (call: AtMostOnceCall, attempt: string): void {
    const { client, service, idempotencyKey } = call
    void this.options.writer.append([{ type: RecordType.CallAbandoned, client, service, idempotencyKey, attempt }])
  }
}

function recordedResponse (known: CallState | null, call: AtMostOnceCall): ServiceResponse {
  if (known !== null && known.digest !== call.digest) {
    throw new ApiError(409, ApiErrorType.Conflict, 'the Idempotency-Key was used for another call', {
      code: 'idempotency_key_reused',
      run: ExecutionOutcome.NotRun
    })
  }
  if (known?.answer !== null && known?.answer !== undefined) {
    return known.answer
  }
  throw new ApiError(409, ApiErrorType.Conflict, 'a call with this Idempotency-Key was sent, and its outcome is not known; it will not be sent again', {
    code: 'outcome_unknown',
    run: ExecutionOutcome.OutcomeUnknown
  })
}
