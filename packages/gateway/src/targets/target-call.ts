/** One request to one target. */
import type { Dispatcher } from 'undici'
import type { HeaderNames } from '../online/header-names.js'
import type { Target } from './target-registry.js'
import type { TargetConnections } from './target-connections.js'

/** A request as it goes to a target. */
export interface TargetRequest {
  readonly id: string
  readonly method: string
  /** Path with query. */
  readonly path: string
  /** Names and values by turns, without those that the call sets itself. */
  readonly headers: readonly string[]
  readonly body: Buffer | null
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean
  /** Milliseconds that are left, or null if the request has no deadline. */
  readonly remaining: number | null
}

/** How a call ended. */
export const CallEnd = {
  /** The whole answer arrived. */
  Complete: 'complete',
  /** The target said, or it is certain, that it did not run the request. */
  NotExecuted: 'not-executed',
  /** The target could not be reached; it did not run the request. */
  Unreachable: 'unreachable',
  /** The answer broke off, was not for this request, or never came: the request may have run. */
  Broken: 'broken'
} as const
export type CallEnd = typeof CallEnd[keyof typeof CallEnd]

/** The first part of an answer. */
export interface AnswerHead {
  readonly status: number
  /** Names and values by turns, as the target sent them. */
  readonly rawHeaders: readonly string[]
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
}

/** Receives an answer as it arrives. */
export interface AnswerSink {
  onHead: (head: AnswerHead) => void
  /** Returns false to get no more data until {@link RunningCall.resume}. */
  onData: (chunk: Buffer) => boolean
}

/** A call in flight. */
export interface RunningCall {
  /** Settles when the call has ended; never rejects. */
  readonly ended: Promise<{ readonly end: CallEnd, readonly reason: string }>
  /** Lets data flow again. */
  resume: () => void
  /** Breaks the call off; targets stop work when the connection closes. */
  abort: (reason: string) => void
}

const misdirected = 421
const serviceUnavailable = 503
const tooManyRequests = 429
const requestTimeout = 408
const badRequest = 400

/** Sends the request and hands the answer to the sink. */
export function callTarget (
  connections: TargetConnections,
  target: Target,
  request: TargetRequest,
  names: HeaderNames,
  sink: AnswerSink
): RunningCall {
  const call = new TargetCall(request, names, sink)
  connections.of(target, request.isRepeatable).dispatch({
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: headersOf(request, target, names),
    body: request.body,
    // Waiting for the end of one answer before the next request is sent keeps answers apart.
    blocking: true,
    headersTimeout: 0,
    bodyTimeout: 0
  }, call)
  return call
}

function headersOf (request: TargetRequest, target: Target, names: HeaderNames): string[] {
  const headers = [...request.headers, names.expectedTarget, target.id]
  if (request.remaining !== null) {
    headers.push(names.deadline, String(Math.max(1, Math.floor(request.remaining))))
  }
  return headers
}

class TargetCall implements RunningCall, Dispatcher.DispatchHandler {
  readonly ended: RunningCall['ended']
  #settle: (result: { end: CallEnd, reason: string }) => void = () => {}
  #controller: Dispatcher.DispatchController | null = null
  #sent = false
  #notExecuted: string | null = null
  #aborted: string | null = null
  #isSettled = false

  constructor (
    private readonly request: TargetRequest,
    private readonly names: HeaderNames,
    private readonly sink: AnswerSink
  ) {
    this.ended = new Promise(resolve => { this.#settle = resolve })
  }

  resume (): void {
    this.#controller?.resume()
  }

  abort (reason: string): void {
    this.#aborted ??= reason
    if (this.#controller === null) {
      // Not written yet: the call is dropped as soon as a connection takes it up.
      this.#finish(CallEnd.NotExecuted, reason)
      return
    }
    this.#controller.abort(new Error(reason))
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#aborted !== null) {
      controller.abort(new Error(this.#aborted))
      return
    }
    this.#sent = true
  }

  onResponseStart (
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>
  ): void {
    if (status < 200) {
      return
    }
    if (isRefusal(status) && headers[this.names.notExecuted] !== undefined) {
      this.#notExecuted = `status ${status}`
      return
    }
    if (status === misdirected) {
      this.#notExecuted = 'another target at this address'
      return
    }
    if (promisesNotRun(status)) {
      controller.abort(new Error(`status ${status} without a word on whether it ran`))
      return
    }
    // A late answer to an earlier request may arrive where this one's is due.
    if (headers[this.names.requestId] !== this.request.id) {
      controller.abort(new Error('answer to another request'))
      return
    }
    this.sink.onHead({ status, headers, rawHeaders: rawHeadersOf(controller) })
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#notExecuted === null && this.#aborted === null && !this.sink.onData(chunk)) {
      controller.pause()
    }
  }

  onResponseEnd (): void {
    if (this.#notExecuted !== null) {
      this.#finish(CallEnd.NotExecuted, this.#notExecuted)
      return
    }
    this.#finish(CallEnd.Complete, '')
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#notExecuted !== null) {
      this.#finish(CallEnd.NotExecuted, this.#notExecuted)
      return
    }
    this.#finish(this.#sent ? CallEnd.Broken : CallEnd.Unreachable, error.message)
  }

  #finish (end: CallEnd, reason: string): void {
    if (!this.#isSettled) {
      this.#isSettled = true
      this.#settle({ end, reason })
    }
  }
}

/** Whether clients take the status for a promise that the request has not run, which this target did not give. */
function promisesNotRun (status: number): boolean {
  return status === serviceUnavailable || status === tooManyRequests || status === requestTimeout
}

function isRefusal (status: number): boolean {
  return status === serviceUnavailable || status === tooManyRequests || status === misdirected || status === badRequest
}

function rawHeadersOf (controller: Dispatcher.DispatchController): readonly string[] {
  const raw = controller.rawHeaders as ReadonlyArray<Buffer | string> | null | undefined
  return (raw ?? []).map(part => typeof part === 'string' ? part : part.toString('latin1'))
}
