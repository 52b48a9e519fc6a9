/** Sends one request to one target and reports whether the target may have run it. */
import type { Dispatcher } from 'undici'
import type { HeaderNames } from '../online/header-names.js'
import type { Target } from './target-registry.js'
import type { TargetConnections } from './target-connections.js'

/** A request to a target. */
export interface TargetRequest {
  /** Request id; a response with another id is discarded. */
  readonly id: string
  readonly method: string
  /** Path with query. */
  readonly path: string
  /** Names and values alternating, without the headers that the call sets itself. */
  readonly headers: readonly string[]
  readonly body: Buffer | null
  /** Whether the request may safely run more than once. */
  readonly isRepeatable: boolean
  /** Milliseconds until the deadline, or null if the request has none. */
  readonly remainingMilliseconds: number | null
}

/** How a call ended. */
export const CallOutcome = {
  /** The complete response arrived. */
  Complete: 'complete',
  /** The target rejected the request, or the request was never sent: it did not run. */
  NotExecuted: 'not-executed',
  /** No connection to the target could be made: the request did not run. */
  Unreachable: 'unreachable',
  /** The response was interrupted, belonged to another request, or never arrived: the request may have run. */
  Broken: 'broken'
} as const
export type CallOutcome = typeof CallOutcome[keyof typeof CallOutcome]

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number
  /** Names and values alternating, as the target sent them. */
  readonly rawHeaders: readonly string[]
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
}

/** Receives a response as it arrives. */
export interface ResponseSink {
  onHead: (head: ResponseHead) => void
  /** Returns false to pause the response until {@link RunningCall.resume}. */
  onData: (chunk: Buffer) => boolean
}

/** A call in flight. */
export interface RunningCall {
  /** Resolves when the call has ended; never rejects. `reason` is empty for a complete response. */
  readonly ended: Promise<{ readonly end: CallOutcome, readonly reason: string }>
  /** Resumes a paused response. */
  resume: () => void
  /** Closes the connection, which makes the target stop working on the request. */
  abort: (reason: string) => void
}

const misdirectedRequestStatus = 421
const serviceUnavailableStatus = 503
const tooManyRequestsStatus = 429
const requestTimeoutStatus = 408
const badRequestStatus = 400

/** Sends the request and passes the response to the sink. */
export function callTarget (
  connections: TargetConnections,
  target: Target,
  request: TargetRequest,
  names: HeaderNames,
  sink: ResponseSink
): RunningCall {
  const call = new TargetCall(request, names, sink)
  connections.poolFor(target, request.isRepeatable).dispatch({
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: headersOf(request, target, names),
    body: request.body,
    // Sends no further request on the connection before this response has ended, so that responses can't be confused.
    blocking: true,
    headersTimeout: 0,
    bodyTimeout: 0
  }, call)
  return call
}

function headersOf (request: TargetRequest, target: Target, names: HeaderNames): string[] {
  const headers = [...request.headers, names.expectedTarget, target.id]
  if (request.remainingMilliseconds !== null) {
    headers.push(names.deadline, String(Math.max(1, Math.floor(request.remainingMilliseconds))))
  }
  return headers
}

class TargetCall implements RunningCall, Dispatcher.DispatchHandler {
  readonly ended: RunningCall['ended']
  #settle: (result: { end: CallOutcome, reason: string }) => void = () => {}
  #controller: Dispatcher.DispatchController | null = null
  #sent = false
  #rejectionReason: string | null = null
  #abortReason: string | null = null
  #isSettled = false

  constructor (
    private readonly request: TargetRequest,
    private readonly names: HeaderNames,
    private readonly sink: ResponseSink
  ) {
    this.ended = new Promise(resolve => { this.#settle = resolve })
  }

  resume (): void {
    this.#controller?.resume()
  }

  abort (reason: string): void {
    this.#abortReason ??= reason
    if (this.#controller === null) {
      // The request was not written yet; onRequestStart aborts it once a connection is free.
      this.#finish(CallOutcome.NotExecuted, reason)
      return
    }
    this.#controller.abort(new Error(reason))
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#abortReason !== null) {
      controller.abort(new Error(this.#abortReason))
      return
    }
    this.#sent = true
  }

  onResponseStart (
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>
  ): void {
    // Ignores informational responses (1xx), which precede the final one.
    if (status < 200) {
      return
    }
    if (canBeRejection(status) && headers[this.names.notExecuted] !== undefined) {
      this.#rejectionReason = `status ${status}`
      return
    }
    if (status === misdirectedRequestStatus) {
      this.#rejectionReason = 'the address belongs to another target'
      return
    }
    if (impliesNotExecuted(status)) {
      controller.abort(new Error(`status ${status} without the not-executed header: the request may have run`))
      return
    }
    // A late response to an earlier request may arrive on this connection.
    if (headers[this.names.requestId] !== this.request.id) {
      controller.abort(new Error('response to another request'))
      return
    }
    this.sink.onHead({ status, headers, rawHeaders: rawHeadersOf(controller) })
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#rejectionReason === null && this.#abortReason === null && !this.sink.onData(chunk)) {
      controller.pause()
    }
  }

  onResponseEnd (): void {
    if (this.#rejectionReason !== null) {
      this.#finish(CallOutcome.NotExecuted, this.#rejectionReason)
      return
    }
    this.#finish(CallOutcome.Complete, '')
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#rejectionReason !== null) {
      this.#finish(CallOutcome.NotExecuted, this.#rejectionReason)
      return
    }
    this.#finish(this.#sent ? CallOutcome.Broken : CallOutcome.Unreachable, error.message)
  }

  #finish (outcome: CallOutcome, reason: string): void {
    if (!this.#isSettled) {
      this.#isSettled = true
      this.#settle({ end: outcome, reason })
    }
  }
}

/**
 * Whether the status tells a client that the request did not run. A response with such a status but without the
 * not-executed header is not relayed, since the request may have run.
 */
function impliesNotExecuted (status: number): boolean {
  return status === serviceUnavailableStatus || status === tooManyRequestsStatus || status === requestTimeoutStatus
}

/** Whether a target may reject a request with this status, if the not-executed header is present. */
function canBeRejection (status: number): boolean {
  return status === serviceUnavailableStatus || status === tooManyRequestsStatus || status === misdirectedRequestStatus || status === badRequestStatus
}

function rawHeadersOf (controller: Dispatcher.DispatchController): readonly string[] {
  const raw = controller.rawHeaders as ReadonlyArray<Buffer | string> | null | undefined
  return (raw ?? []).map(part => typeof part === 'string' ? part : part.toString('latin1'))
}
