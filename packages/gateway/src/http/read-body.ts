/** Reads request bodies, within a length, a time and the memory that the process has for them. */
import type { IncomingMessage } from 'node:http'
import { HeldKind, RoomDecision } from '@arbutusloft/policy'
import { BodyBuffer } from '../memory/body-buffer.js'
import type { HeldBytes, HeldPart } from '../memory/held-bytes.js'
import { afterNextRead } from '../util/after-next-read.js'

/** Time from the headers of a request in which its body has to arrive; clients of the platform wait for 6 s at most. */
export const bodyTimeoutMilliseconds = 10_000
/** Weight of the latest chunk in the mean length of chunks. */
const latestChunkWeight = 0.1
/** Mean length of the latest chunks below which a body does not wait for room: each chunk that is read but not taken has some hundred bytes of its own. */
const minimumWaitingChunkBytes = 256
/** Memory beyond its length below which a part is kept as it arrived. */
const maximumUnusedBytes = 4_096

/** A request body exceeds its size limit. */
export class BodyTooLargeError extends Error {
  override readonly name = 'BodyTooLargeError'

  /** @param limit bytes */
  constructor (readonly limit: number) {
    super(`the body has more than ${limit} bytes`)
  }
}

/** The process has no memory for a request body. */
export class BodyRefusedError extends Error {
  override readonly name = 'BodyRefusedError'

  constructor () {
    super('not run: no memory for the body')
  }
}

/** A request body has not arrived in time. */
export class BodyTimeoutError extends Error {
  override readonly name = 'BodyTimeoutError'

  /** @param limit milliseconds */
  constructor (readonly limit: number) {
    super(`not run: the body did not arrive within ${limit} ms`)
  }
}

/** A body that has arrived. */
export interface RequestBody {
  /** Valid until {@link RequestBody.close}. */
  readonly bytes: Buffer
  /** What the body holds of the process's memory. */
  readonly held: HeldPart
  /** Gives the memory back; does nothing the second time. */
  close: () => void
}

/**
 * Reads the whole body of a request. Rejects with a {@link BodyTooLargeError}, {@link BodyRefusedError} or {@link BodyTimeoutError}, after which the rest
 * of the body is still to be read, or with the connection's error.
 */
export async function readBody (request: IncomingMessage, limit: number, held: HeldBytes, timeoutMilliseconds = bodyTimeoutMilliseconds): Promise<RequestBody> {
  return await new Promise((resolve, reject) => {
    new BodyReader(request, limit, held, timeoutMilliseconds, resolve, reject).start()
  })
}

class BodyReader {
  readonly #buffer: BodyBuffer
  readonly #part: HeldPart
  readonly #announced: number | null
  #timer: NodeJS.Timeout | null = null
  /** Mean length of the latest chunks. */
  #meanChunkBytes = 0
  /** A part that waits for room. */
  #waiting: Buffer | null = null
  #isSettled = false
  readonly #onData = (chunk: Buffer): void => { this.#take(chunk) }
  readonly #onEnd = (): void => { this.#finish() }
  readonly #onError = (error: Error): void => { this.#fail(error) }
  readonly #onClose = (): void => { this.#fail(new Error('the connection was closed before the end of the body')) }

  constructor (
    private readonly request: IncomingMessage,
    private readonly limit: number,
    private readonly held: HeldBytes,
    private readonly timeoutMilliseconds: number,
    private readonly resolve: (body: RequestBody) => void,
    private readonly reject: (error: Error) => void
  ) {
    const length = request.headers['content-length']
    this.#announced = length === undefined ? null : Number(length)
    this.#buffer = new BodyBuffer(Math.min(limit, this.#announced ?? limit))
    this.#part = held.open(HeldKind.Unfinished, () => { this.#refuse() })
  }

  start (): void {
    const { request } = this
    if (this.#announced !== null && this.#announced > this.limit) {
      this.#fail(new BodyTooLargeError(this.limit))
      return
    }
    request.on('data', this.#onData)
    request.on('end', this.#onEnd)
    request.on('error', this.#onError)
    request.on('close', this.#onClose)
    this.#timer = setTimeout(() => {
      // After a freeze of the process the rest may have arrived already.
      afterNextRead(() => { this.#onTimeout() })
    }, this.timeoutMilliseconds)
  }

  #take (chunk: Buffer): void {
    this.#meanChunkBytes = this.#buffer.length === 0 ? chunk.length : this.#meanChunkBytes + (chunk.length - this.#meanChunkBytes) * latestChunkWeight
    const length = this.#buffer.length + chunk.length
    if (length > this.limit) {
      this.#fail(new BodyTooLargeError(this.limit))
      return
    }
    const isWhole = chunk.length === this.#announced && chunk.buffer.byteLength - chunk.length <= maximumUnusedBytes
    const capacity = isWhole ? chunk.length : this.#buffer.capacityFor(length)
    const missing = capacity - this.#part.bytes
    const decision = missing > 0 ? this.#part.grow(missing) : RoomDecision.Granted
    if (this.#isSettled) {
      return
    }
    if (decision === RoomDecision.Granted) {
      if (isWhole) {
        this.#buffer.adopt(chunk)
      } else {
        this.#buffer.append(chunk)
      }
    } else if (decision === RoomDecision.Wait && this.#meanChunkBytes >= minimumWaitingChunkBytes) {
      this.#wait(chunk)
    } else {
      this.#refuse()
    }
  }

  #wait (chunk: Buffer): void {
    this.#waiting = chunk
    this.request.pause()
    this.#part.onceRoom(() => {
      if (this.#waiting === null || this.#isSettled) {
        return
      }
      this.#waiting = null
      this.#take(chunk)
      if (this.#waiting === null && !this.#isSettled) {
        this.request.resume()
      }
    })
  }

  #onTimeout (): void {
    if (this.#waiting === null) {
      this.#fail(new BodyTimeoutError(this.timeoutMilliseconds))
    } else {
      this.#refuse()
    }
  }

  #refuse (): void {
    if (!this.#isSettled) {
      this.held.recordRefusal(HeldKind.Unfinished)
      this.#fail(new BodyRefusedError())
    }
  }

  #finish (): void {
    if (this.#settle()) {
      const { bytes } = this.#buffer
      this.#part.change(HeldKind.Request)
      this.resolve({
        bytes,
        held: this.#part,
        close: () => {
          this.#buffer.release()
          this.#part.close()
        }
      })
    }
  }

  #fail (error: Error): void {
    if (this.#settle()) {
      this.#buffer.release()
      this.#part.close()
      this.reject(error)
    }
  }

  #settle (): boolean {
    if (this.#isSettled) {
      return false
    }
    this.#isSettled = true
    this.#waiting = null
    clearTimeout(this.#timer ?? undefined)
    this.request.off('data', this.#onData)
    this.request.off('end', this.#onEnd)
    this.request.off('error', this.#onError)
    this.request.off('close', this.#onClose)
    return true
  }
}
