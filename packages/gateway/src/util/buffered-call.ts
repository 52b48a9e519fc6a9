/** A call whose whole answer is wanted at once. */
import type { Dispatcher } from 'undici'

/** A whole answer. */
export interface BufferedAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

/** What to call, and how long it may take. */
export interface BufferedCall {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body: Buffer | null
  readonly timeoutMilliseconds: number
}

/** The call ended without a whole answer. */
export class UnansweredCallError extends Error {
  override readonly name = 'UnansweredCallError'

  /** @param sent whether the call may have reached the other side */
  constructor (message: string, readonly sent: boolean) {
    super(message)
  }
}

/** Makes the call; rejects with {@link UnansweredCallError}. */
export async function callBuffered (dispatcher: Dispatcher, call: BufferedCall): Promise<BufferedAnswer> {
  return await new Promise((resolve, reject) => {
    const handler = new BufferingHandler(call.timeoutMilliseconds, resolve, reject)
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
  readonly #timer: NodeJS.Timeout
  #controller: Dispatcher.DispatchController | null = null
  #head: Pick<BufferedAnswer, 'status' | 'headers'> | null = null
  #timedOut = false

  constructor (
    timeoutMilliseconds: number,
    private readonly resolve: (answer: BufferedAnswer) => void,
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

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: BufferedAnswer['headers']): void {
    this.#head = { status, headers }
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk)
  }

  onResponseEnd (): void {
    clearTimeout(this.#timer)
    if (this.#head === null) {
      this.reject(new UnansweredCallError('an answer without a head', true))
      return
    }
    this.resolve({ ...this.#head, body: Buffer.concat(this.#chunks) })
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    clearTimeout(this.#timer)
    this.reject(new UnansweredCallError(error.message, this.#controller !== null))
  }

  #onTimeout (): void {
    this.#timedOut = true
    if (this.#controller !== null) {
      this.#controller.abort(new Error('no answer in time'))
      return
    }
    // Not written yet; the connection that takes it up drops it.
    this.reject(new UnansweredCallError('no connection in time', false))
  }
}
