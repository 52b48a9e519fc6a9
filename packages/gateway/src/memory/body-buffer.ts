/// <reference lib="es2024.arraybuffer" />
/** Collects a request body in memory that grows with what has arrived and is given back at once when it is no longer needed. */

/** Length up to which a body has a buffer of the usual kind. */
const maximumPlainBytes = 65_536
const minimumPlainBytes = 1_024
/** Steps in which the memory for a longer body grows. */
const stepBytes = 131_072
const noBytes = Buffer.alloc(0)

/**
 * A buffer for one body. A long one grows in place, in pages that the operating system reserves for it, so that no part is copied twice; the garbage
 * collector would give the memory back only after some hundred megabytes of bodies.
 */
export class BodyBuffer {
  #plain: Buffer = noBytes
  #pages: ArrayBuffer | null = null
  #length = 0

  /** @param limit greatest length in bytes */
  constructor (private readonly limit: number) {}

  /** Number of bytes that were added. */
  get length (): number {
    return this.#length
  }

  /** Bytes of memory. */
  get capacity (): number {
    return this.#pages?.byteLength ?? this.#plain.length
  }

  /** All bytes; valid until {@link BodyBuffer.release}. */
  get bytes (): Buffer {
    return this.#pages === null ? this.#plain.subarray(0, this.#length) : Buffer.from(this.#pages, 0, this.#length)
  }

  /** Returns the bytes of memory that the buffer takes with this length. */
  capacityFor (length: number): number {
    if (length <= this.capacity) {
      return this.capacity
    }
    if (length <= maximumPlainBytes) {
      return Math.min(maximumPlainBytes, Math.max(minimumPlainBytes, 2 ** Math.ceil(Math.log2(length))))
    }
    return Math.min(Math.ceil(length / stepBytes) * stepBytes, Math.max(this.limit, length))
  }

  /** Adds a copy of a part. */
  append (part: Buffer): void {
    const length = this.#length + part.length
    this.#reserve(this.capacityFor(length))
    const storage = this.#pages === null ? this.#plain : new Uint8Array(this.#pages)
    storage.set(part, this.#length)
    this.#length = length
  }

  /** Takes a part as it is, as the whole body. */
  adopt (part: Buffer): void {
    this.#plain = part
    this.#length = part.length
  }

  /** Gives the memory back; the bytes that were returned are empty afterwards if they were long. */
  release (): void {
    this.#pages?.resize(0)
    this.#pages = null
    this.#plain = noBytes
    this.#length = 0
  }

  #reserve (capacity: number): void {
    if (capacity <= this.capacity) {
      return
    }
    if (capacity <= maximumPlainBytes) {
      const grown = Buffer.allocUnsafeSlow(capacity)
      grown.set(this.#plain.subarray(0, this.#length))
      this.#plain = grown
    } else if (this.#pages === null) {
      this.#pages = new ArrayBuffer(capacity, { maxByteLength: Math.max(this.limit, capacity) })
      new Uint8Array(this.#pages).set(this.#plain.subarray(0, this.#length))
      this.#plain = noBytes
    } else {
      this.#pages.resize(capacity)
    }
  }
}
