/** Joins bytes that arrive in parts, at a cost that is linear in their number whatever the length of the parts. */

const noBytes = Buffer.alloc(0)

/** Collects copies of parts in one buffer, whose capacity doubles up to a limit. */
export class GrowingBuffer {
  #storage: Buffer = noBytes
  #length = 0

  /** @param maximumCapacity bytes up to which the capacity is more than the parts need */
  constructor (private readonly maximumCapacity: number) {}

  /** Number of bytes. */
  get length (): number {
    return this.#length
  }

  /** All bytes; they share memory with this buffer until {@link GrowingBuffer.clear}, and parts that follow don't change them. */
  get bytes (): Buffer {
    return this.#storage.subarray(0, this.#length)
  }

  /** Adds a copy of a part. */
  append (part: Uint8Array): void {
    const length = this.#length + part.length
    if (length > this.#storage.length) {
      const storage = Buffer.allocUnsafe(Math.max(length, Math.min(this.#storage.length * 2, this.maximumCapacity)))
      storage.set(this.bytes)
      this.#storage = storage
    }
    this.#storage.set(part, this.#length)
    this.#length = length
  }

  /** Removes all bytes; those that were returned stay as they are. */
  clear (): void {
    this.#storage = noBytes
    this.#length = 0
  }
}
