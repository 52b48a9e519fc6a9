/**
 * How many instances an owner has seen in the last window. Requests that were granted while it saw more instances than now count for all of these, and
 * a smaller group takes its share of them: otherwise an instance that is cut off would refuse everything until the requests of all others had expired.
 */
import { bucketMilliseconds, bucketOf } from './charge-window.js'
import type { AllowanceGroup } from './group-limit.js'

/** Changes that are remembered; members change a few times a second at most. */
const maximumChanges = 100

interface SeenSince {
  readonly bucket: number
  readonly seen: number
}

/** Remembers the numbers of instances with their times. */
export class GroupHistory {
  /** In the order of their times; the first may be older than the window. */
  readonly #changes: SeenSince[] = []
  #isLarge = true

  constructor (private readonly windowMilliseconds: number) {}

  /** Records the instances that are seen from now on. */
  record ({ seen, known }: AllowanceGroup, now: number): void {
    // A group of two thirds or more rather misses instances that were lost, which take no requests any more.
    this.#isLarge = seen * 3 >= known * 2
    if (this.#changes.at(-1)?.seen !== seen) {
      this.#changes.push({ bucket: bucketOf(now), seen })
    }
    const oldest = bucketOf(now) - Math.ceil(this.windowMilliseconds / bucketMilliseconds) - 1
    while (this.#changes.length > maximumChanges || (this.#changes[1]?.bucket ?? Infinity) <= oldest) {
      this.#changes.shift()
    }
  }

  /** Whether requests of the whole window count as they are. */
  get isUniform (): boolean {
    const seen = this.#changes.at(-1)?.seen ?? 0
    return this.#isLarge || this.#changes.every(change => change.seen <= seen)
  }

  /** Returns the part of a request granted in a bucket that counts for the present group. */
  weightOf (bucket: number): number {
    if (this.#isLarge) {
      return 1
    }
    const present = this.#changes.at(-1)?.seen ?? 1
    // Requests from before the first change were granted while as many were seen as at it.
    const { seen } = this.#changes.findLast(change => change.bucket <= bucket) ?? this.#changes[0] ?? { seen: present }
    return Math.min(1, present / seen)
  }
}
