/** Sends one request to one target and reports whether the target may have run it. */
import type { HeaderNames } from '../online/header-names.js'
import { findRateLimit } from './rate-limit-header.js'
import type { ResponseHead } from './response-parser.js'
import type { Exchange, TargetConnection } from './target-connection.js'
import type { TargetConnections } from './target-connections.js'
import type { TargetEndpoint } from './target-registry.js'
import { ConnectionFailure } from './transport.js'
import { UnusedBody } from './unused-body.js'

/** A request to a target. */
export interface TargetRequest {
  /** Request id, or empty; a response with another id is skipped. */
  readonly id: string
  readonly method: string
  /** Path with query. */
  readonly path: string
  /** Names and values alternating, without the headers that the call sets itself. */
  readonly headers: readonly string[]
  readonly body: Buffer | null
  /** Milliseconds until the deadline, or null if the request has none. */
  readonly remainingMilliseconds: number | null
  /** Time by which the caller ends the call in any case, in milliseconds since the epoch; it may last as long as its target takes if this is missing. */
  readonly endsAt?: number
}

/** How a call ended. */
export const CallOutcome = {
  /** The complete response arrived. */
  Complete: 'complete',
  /**
   * The target closed the connection in order after a response with neither a length nor chunks, and accepts connections: the response is
   * complete as far as the protocol tells.
   */
  EndUnknown: 'end-unknown',
  /** The target rejected the request, or the request was never sent: it did not run. */
  NotExecuted: 'not-executed',
  /** Another target responded at the target's address: the request did not run. */
  Misdirected: 'misdirected',
  /** No connection to the target could be made, by nobody who could tell: the request did not run. */
  Unreachable: 'unreachable',
  /** This instance is cut off, and no peer could relay a connection: the request did not run, and nothing is known of the target. */
  NoPath: 'no-path',
  /** The response was aborted, was malformed or belonged to another request: the request may have run. */
  Broken: 'broken',
  /** The target closed or reset the connection before the end of the response: the request may have run. */
  Disconnected: 'disconnected'
} as const
export type CallOutcome = typeof CallOutcome[keyof typeof CallOutcome]

/** How a call ended, and why; the reason is empty for a response that is or may be complete. */
export interface CallEnd {
  readonly end: CallOutcome
  readonly reason: string
}

/** Receives a response as it arrives. */
export interface ResponseSink {
  onHead: (head: ResponseHead) => void
  /**
   * Returns false to pause the response until {@link RunningCall.resume}; throws to break the call off for the error's message. The bytes are
   * valid only during the call.
   */
  onData: (chunk: Buffer) => boolean
  /** Called if the target says that it leaves, before {@link onHead}, and also for a rejection, which is not passed on. */
  onLeaving: () => void
  /**
   * Called with the rate limit that the target names, in requests a second, before {@link onHead} and also for a rejection; null if an answer of a
   * target that ran the request names none.
   */
  onRateLimit: (requestsPerSecond: number | null) => void
  /** Called with the head of a response to another request, which is skipped. */
  onForeign: (head: ResponseHead) => void
}

/** A call in flight. */
export interface RunningCall {
  /** Address of the peer that relays the connection, or null if none does. */
  readonly via: string | null
  /** Time by which the caller ends the call in any case, in milliseconds since the epoch; Infinity if there is none. */
  readonly endsAt: number
  /** Time at which the request was sent, in milliseconds since the epoch, or null if it was not. */
  readonly sentAt: number | null
  /** Why the connection ended before the response did, or null. */
  readonly failure: ConnectionFailure | null
  /** Resolves when the call has ended; never rejects. */
  readonly ended: Promise<CallEnd>
  /** Resumes a paused response. */
  resume: () => void
  /** Passes no more data to the sink; closes the connection if the response does not end soon. */
  skipBody: () => void
  /** Closes the connection, which makes the target stop working on the request. */
  abort: (reason: string) => void
}

const misdirectedRequestStatus = 421
const serviceUnavailableStatus = 503
const tooManyRequestsStatus = 429
const requestTimeoutStatus = 408
const badRequestStatus = 400

/** Length up to which the bodies of responses to other requests are skipped: far more than a late copy has. */
const maximumForeignBytes = 1_048_576

/** Methods whose requests have a body, if only an empty one. */
/** Length up to which a body is sent in one write with the headers; copying a longer one takes more memory than a second write. */
const maximumJoinedBytes = 16_384

const methodsWithBody: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH'])

/** Sends the request and passes the response to the sink. */
export function callTarget (
  connections: TargetConnections,
  target: TargetEndpoint,
  request: TargetRequest,
  names: HeaderNames,
  sink: ResponseSink
): RunningCall {
  const endsAt = request.endsAt ?? Infinity
  const connection = connections.acquire(target, request.id, endsAt)
  const call = new TargetCall(connection, endsAt, async () => await connections.dialer.isListening(target, endsAt), request.id, names, sink)
  connection.send(request.id, encodeRequest(request, target, names), call, request.method !== 'HEAD')
  call.start(send => connections.sendWithin(target, request.body?.length ?? 0, send))
  return call
}

function encodeRequest (request: TargetRequest, target: TargetEndpoint, names: HeaderNames): readonly Buffer[] {
  const { method, path, headers, body, remainingMilliseconds } = request
  const lines = [`${method} ${path} HTTP/1.1`]
  for (let index = 0; index + 1 < headers.length; index += 2) {
    lines.push(`${headers[index]}: ${headers[index + 1]}`)
  }
  lines.push(`${names.expectedTarget}: ${target.id}`)
  if (remainingMilliseconds !== null) {
    lines.push(`${names.deadline}: ${Math.max(1, Math.floor(remainingMilliseconds))}`)
  }
  if (body !== null || methodsWithBody.has(method)) {
    lines.push(`content-length: ${body?.length ?? 0}`)
  }
  // Node.js decodes headers as Latin-1, so this restores their bytes.
  const head = Buffer.from(lines.join('\r\n') + '\r\n\r\n', 'latin1')
  if (body === null) {
    return [head]
  }
  return body.length <= maximumJoinedBytes ? [Buffer.concat([head, body])] : [head, body]
}

class TargetCall implements RunningCall, Exchange {
  readonly ended: RunningCall['ended']
  /** Ends what the body counts among the bytes in flight to the target. */
  #endBody: () => void = () => {}
  #settle: (result: { end: CallOutcome, reason: string }) => void = () => {}
  #sentAt: number | null = null
  #failure: ConnectionFailure | null = null
  #rejection: { readonly end: CallOutcome, readonly reason: string } | null = null
  #unusedBody: UnusedBody | null = null
  /** Whether the current response answers another request. */
  #isForeign = false
  #foreignBytes = 0
  #isAborted = false
  #isSettled = false

  constructor (
    private readonly connection: TargetConnection,
    readonly endsAt: number,
    private readonly isListening: () => Promise<boolean>,
    private readonly id: string,
    private readonly names: HeaderNames,
    private readonly sink: ResponseSink
  ) {
    this.ended = new Promise(resolve => { this.#settle = resolve })
  }

  get via (): string | null {
    return this.connection.via
  }

  get sentAt (): number | null {
    return this.#sentAt
  }

  get failure (): ConnectionFailure | null {
    return this.#failure
  }

  /** @param sendWithin calls back when the request may be sent, and returns what ends its body */
  start (sendWithin: (send: () => void) => () => void): void {
    const endBody = sendWithin(() => { this.connection.allowSend() })
    if (this.#isSettled) {
      endBody()
    } else {
      this.#endBody = endBody
    }
  }

  resume (): void {
    this.connection.resume()
  }

  skipBody (): void {
    this.#unusedBody ??= new UnusedBody(reason => { this.abort(reason) })
  }

  abort (reason: string): void {
    if (!this.#isSettled) {
      this.#isAborted = true
      this.connection.close(reason)
    }
  }

  onSent (): void {
    this.#sentAt = Date.now()
  }

  onHead (head: ResponseHead): boolean {
    const { status, headers } = head
    if (this.#isSettled) {
      return false
    }
    if ((headers[this.names.requestId] ?? '') !== this.id) {
      // A late copy of the response to an earlier request, for example. It says nothing about this one, whose response may follow.
      this.#isForeign = true
      this.sink.onForeign(head)
      return false
    }
    if (headers[this.names.targetLeaving] !== undefined) {
      this.sink.onLeaving()
    }
    if (canBeRejection(status) && headers[this.names.notExecuted] !== undefined) {
      this.#rejection = { end: status === misdirectedRequestStatus ? CallOutcome.Misdirected : CallOutcome.NotExecuted, reason: `status ${status}` }
      this.#readRateLimit(head, false)
      this.skipBody()
    } else if (status === misdirectedRequestStatus) {
      this.#rejection = { end: CallOutcome.Misdirected, reason: 'the address belongs to another target' }
      this.skipBody()
    } else if (impliesNotExecuted(status)) {
      this.#readRateLimit(head, false)
      this.abort(`status ${status} without the not-executed header: the request may have run`)
    } else {
      this.#readRateLimit(head, true)
      this.sink.onHead(head)
    }
    return true
  }

  /**
   * Another target at the address says nothing about this one.
   *
   * @param tellsNone whether a head without a limit tells that there is none
   */
  #readRateLimit ({ status, headers, rawHeaders }: ResponseHead, tellsNone: boolean): void {
    if (status === misdirectedRequestStatus) {
      return
    }
    const limit = findRateLimit(rawHeaders, this.names.rateLimit)
    if (limit !== null || (headers[this.names.rateLimit] === undefined && tellsNone)) {
      this.sink.onRateLimit(limit)
    }
  }

  onData (bytes: Buffer): boolean {
    if (this.#isForeign) {
      this.#foreignBytes += bytes.length
      if (this.#foreignBytes > maximumForeignBytes) {
        this.abort(`responses to other requests have more than ${maximumForeignBytes} bytes`)
      }
      return true
    }
    this.#unusedBody?.onData(bytes)
    return this.#unusedBody !== null || this.#isSettled || this.sink.onData(bytes)
  }

  onSkipped (): void {
    this.#isForeign = false
  }

  onComplete (isEndKnown: boolean): void {
    if (this.#rejection !== null) {
      this.#finish(this.#rejection.end, this.#rejection.reason)
    } else if (isEndKnown) {
      this.#finish(CallOutcome.Complete, '')
    } else {
      void this.#finishUnframed()
    }
  }

  onFailure (reason: string, failure: ConnectionFailure): void {
    this.#failure = failure
    if (this.#rejection !== null) {
      this.#finish(this.#rejection.end, this.#rejection.reason)
    } else if (this.#sentAt !== null) {
      this.#finish(failure === ConnectionFailure.Closed ? CallOutcome.Broken : CallOutcome.Disconnected, reason)
    } else if (this.#isAborted) {
      this.#finish(CallOutcome.NotExecuted, reason)
    } else {
      this.#finish(failure === ConnectionFailure.NoPath ? CallOutcome.NoPath : CallOutcome.Unreachable, reason)
    }
  }

  /** The operating system closes the connections of a target that crashes in order, as the target itself does at the end of a response. */
  async #finishUnframed (): Promise<void> {
    if (await this.isListening()) {
      this.#finish(CallOutcome.EndUnknown, '')
    } else {
      this.#failure = ConnectionFailure.Disconnected
      this.#finish(CallOutcome.Disconnected, 'connection closed by a target that has ended')
    }
  }

  #finish (outcome: CallOutcome, reason: string): void {
    if (!this.#isSettled) {
      this.#isSettled = true
      this.#endBody()
      this.#unusedBody?.close()
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
