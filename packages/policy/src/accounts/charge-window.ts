/** Requests of one account in a sliding window, counted in buckets of 100 ms. */

/** Length of a bucket: the greatest error in the age of a request. */
export const bucketMilliseconds = 100

/** Counts by number of the bucket, in no particular order. */
export type BucketCounts = ReadonlyArray<readonly [bucket: number, count: number]>

/** Returns the number of the bucket that holds a time in milliseconds. */
export function bucketOf (time: number): number {
  return Math.floor(time / bucketMilliseconds)
}

/** Returns the oldest bucket that counts: a request counts until the end of its bucket is as old as the window is long. */
export function oldestBucketOf (windowMilliseconds: number, now: number): number {
  return bucketOf(now - windowMilliseconds)
}

/** Counts by bucket and in all. Its owner expires what is older than the window. */
export class ChargeWindow {
  readonly #counts = new Map<number, number>()
  #total = 0
  #oldest = -Infinity

  /** Sum of the counts of all buckets that have not expired. */
  get total (): number {
    return this.#total
  }

  /** Changes the count of a bucket; returns false if the bucket has expired, which changes nothing. */
  add (bucket: number, change: number): boolean {
    return this.set(bucket, Math.max(0, this.countOf(bucket) + change))
  }

  /** Sets the count of a bucket; returns false if the bucket has expired, which changes nothing. */
  set (bucket: number, count: number): boolean {
    if (bucket < this.#oldest) {
      return false
    }
    this.#total += count - this.countOf(bucket)
    if (count === 0) {
      this.#counts.delete(bucket)
    } else {
      this.#counts.set(bucket, count)
    }
    return true
  }

  countOf (bucket: number): number {
    return this.#counts.get(bucket) ?? 0
  }

  /** Forgets the buckets before this one. */
  expireBefore (oldest: number): void {
    if (oldest <= this.#oldest) {
      return
    }
    this.#oldest = oldest
    for (const [bucket, count] of this.#counts) {
      if (bucket < oldest) {
        this.#counts.delete(bucket)
        this.#total -= count
      }
    }
  }

  /** Returns the buckets with a count, in no particular order. */
  entries (): Iterable<readonly [bucket: number, count: number]> {
    return this.#counts
  }
}
