/** HTTP calls that buffer the whole response. */
import type { Dispatcher } from 'undici'
import { afterNextRead } from './after-next-read.js'

const firstSuccessStatus = 200
const lastSuccessStatus = 299

const noContentStatus = 204
const unframedMessage = 'an answer with neither a length nor chunks, which may have been broken off'

/** A complete response. */
export interface BufferedResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

/** Parameters of a call. */
export interface BufferedCall {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body: Buffer | null
  /** Time allowed for the call, connecting included. */
  readonly timeoutMilliseconds: number
  /** Limits of a response that has begun within the timeout; by default it must also be complete within the timeout. */
  readonly transfer?: TransferLimits
  /** Gets the response in parts, as they arrive, besides the caller who gets it as a whole. */
  readonly observer?: ResponseObserver
}

/** Follows a response that may still be broken off. */
export interface ResponseObserver {
  readonly onHead: (status: number) => void
  readonly onData: (chunk: Buffer) => void
}

/** Limits of a response that has begun. */
export interface TransferLimits {
  /** Time allowed from its head to its end. */
  readonly totalMilliseconds: number
  /** Longest time without a part of it. */
  readonly pauseMilliseconds: number
}

/** A call ended without a complete response. */
export class UnansweredCallError extends Error {
  override readonly name = 'UnansweredCallError'

  /** @param sent whether the request may have reached the server */
  constructor (message: string, readonly sent: boolean) {
    super(message)
  }
}

/** Makes a call and returns its response; rejects with {@link UnansweredCallError} if there is no complete one in time. */
export async function callBuffered (dispatcher: Dispatcher, call: BufferedCall): Promise<BufferedResponse> {
  return await new Promise((resolve, reject) => {
    const handler = new BufferingHandler(call.timeoutMilliseconds, call.transfer ?? null, call.observer ?? null, resolve, reject)
    dispatcher.dispatch({
      method: call.method,
      path: call.path,
      headers: { ...call.headers },
      body: call.body,
      headersTimeout: 0,
      bodyTimeout: 0
    }, handler)
  })
}

class BufferingHandler implements Dispatcher.DispatchHandler {
  readonly #chunks: Buffer[] = []
  #timer: NodeJS.Timeout
  /** Time at which a response that has begun is given up although it goes on, by the clock of `performance`. */
  #transferDeadline = 0
  #controller: Dispatcher.DispatchController | null = null
  #head: Pick<BufferedResponse, 'status' | 'headers'> | null = null
  #timedOut = false
  #hasEnded = false

  constructor (
    timeoutMilliseconds: number,
    private readonly transfer: TransferLimits | null,
    private readonly observer: ResponseObserver | null,
    private readonly resolve: (response: BufferedResponse) => void,
    private readonly reject: (error: UnansweredCallError) => void
  ) {
    this.#timer = setTimeout(() => { this.#onTimeout() }, timeoutMilliseconds)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#timedOut) {
      controller.abort(new Error('no connection in time'))
      return
    }
    this.#controller = controller
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: BufferedResponse['headers']): void {
    this.#head = { status, headers }
    this.observer?.onHead(status)
    this.#transferDeadline = performance.now() + (this.transfer?.totalMilliseconds ?? 0)
    this.#extend()
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk)
    this.observer?.onData(chunk)
    this.#extend()
  }

  onResponseEnd (): void {
    this.#end()
    if (this.#head === null) {
      this.reject(new UnansweredCallError('an answer without a head', true))
      return
    }
    if (mayBeBrokenOff(this.#head)) {
      // undici takes the reset of such an answer for its end.
      this.reject(new UnansweredCallError(unframedMessage, true))
      return
    }
    this.resolve({ ...this.#head, body: Buffer.concat(this.#chunks) })
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this.#end()
    this.reject(new UnansweredCallError(error.message, this.#controller !== null))
  }

  /** Allows a response that goes on another pause, up to the end of the time for its transfer. */
  #extend (): void {
    if (this.transfer === null || this.#timedOut) {
      return
    }
    clearTimeout(this.#timer)
    const remaining = Math.min(this.transfer.pauseMilliseconds, this.#transferDeadline - performance.now())
    this.#timer = setTimeout(() => { this.#onTimeout() }, Math.max(0, remaining))
  }

  #end (): void {
    this.#hasEnded = true
    clearTimeout(this.#timer)
  }

  /** Ends the call, unless data has arrived that this process, which may have been held up, has not read yet. */
  #onTimeout (): void {
    const timer = this.#timer
    afterNextRead(() => {
      if (!this.#hasEnded && this.#timer === timer) {
        this.#giveUp()
      }
    })
  }

  #giveUp (): void {
    this.#timedOut = true
    if (this.#controller !== null) {
      this.#controller.abort(new Error('no answer in time'))
      return
    }
    // The request was not written yet; onRequestStart aborts it once a connection is free.
    this.reject(new UnansweredCallError('no connection in time', false))
  }
}

/** Whether the body matters, as a failure's does not, and nothing but its connection shows where it ends. */
function mayBeBrokenOff ({ status, headers }: Pick<BufferedResponse, 'status' | 'headers'>): boolean {
  const isSuccess = status >= firstSuccessStatus && status <= lastSuccessStatus
  const isChunked = String(headers['transfer-encoding'] ?? '').toLowerCase().endsWith('chunked')
  return isSuccess && status !== noContentStatus && headers['content-length'] === undefined && !isChunked
}
