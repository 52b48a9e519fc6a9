/** A set of item numbers, stored as a bitmap. */

const bitsPerByte = 8

/** A set of integers from 0 upwards. Its memory grows with the greatest member, not with their number. */
export class ItemSet {
  #bytes: Uint8Array
  #size = 0

  /** @param bytes bitmap made by {@link ItemSet.toBytes}; the set keeps and changes it */
  constructor (bytes = new Uint8Array(0)) {
    this.#bytes = bytes
    for (const byte of bytes) {
      this.#size += countBits(byte)
    }
  }

  get size (): number {
    return this.#size
  }

  has (item: number): boolean {
    const byte = this.#bytes[Math.floor(item / bitsPerByte)] ?? 0
    return (byte & (1 << (item % bitsPerByte))) !== 0
  }

  /** Adds an item and returns whether it was not yet in the set. */
  add (item: number): boolean {
    if (this.has(item)) {
      return false
    }
    const index = Math.floor(item / bitsPerByte)
    this.#reserve(index)
    this.#bytes[index] = (this.#bytes[index] ?? 0) | (1 << (item % bitsPerByte))
    this.#size += 1
    return true
  }

  /** Returns the bitmap for a snapshot, without copying it; bit `item % 8` of byte `item / 8` stands for the item. */
  toBytes (): Uint8Array {
    return this.#bytes
  }

  #reserve (index: number): void {
    if (index < this.#bytes.length) {
      return
    }
    const grown = new Uint8Array(Math.max(index + 1, this.#bytes.length * 2))
    grown.set(this.#bytes)
    this.#bytes = grown
  }
}

function countBits (byte: number): number {
  let count = 0
  for (let remaining = byte; remaining !== 0; remaining &= remaining - 1) {
    count += 1
  }
  return count
}
