/** The queue of batch items as it was before client accounts: the reference of items without an account. */
import { MovingAverage } from '../../src/util/moving-average.js'
import type { SlotRequest } from '../../src/index.js'

/** Deadline and progress of an item; see {@link SlotRequest}. */
type ItemUrgency = Pick<SlotRequest, 'due' | 'ran'>

/** Weight of the newest item in the averages. */
const sampleWeight = 0.05
/** Share of the average time that an item still needs at least, however long it has run. */
const minimumNeedShare = 0.15

/** Orders items, and learns how long they need. */
export class PreviousBatchQueue {
  readonly #waiting = new Map<string, SlotRequest>()
  /** Milliseconds of a slot that items need. */
  #need: MovingAverage | null = null
  /** Time from an item's first slot to its end, as a multiple of the time for which it held slots. */
  readonly #stretch = new MovingAverage(1, sampleWeight)

  get length (): number {
    return this.#waiting.size
  }

  add (request: SlotRequest): void {
    this.#waiting.set(request.permit, request)
  }

  has (permit: string): boolean {
    return this.#waiting.has(permit)
  }

  /** Returns the waiting request of a permit, or undefined if there is none. */
  get (permit: string): SlotRequest | undefined {
    return this.#waiting.get(permit)
  }

  delete (permit: string): void {
    this.#waiting.delete(permit)
  }

  deleteHolder (holder: string): void {
    for (const [permit, request] of this.#waiting) {
      if (request.holder === holder) {
        this.#waiting.delete(permit)
      }
    }
  }

  /** Removes the items that meet the condition and returns them. */
  remove (condition: (request: SlotRequest) => boolean): readonly SlotRequest[] {
    const removed = [...this.#waiting.values()].filter(condition)
    for (const { permit } of removed) {
      this.#waiting.delete(permit)
    }
    return removed
  }

  /** Records how long a finished item has held slots, and the time from its first slot to its end, in milliseconds. */
  recordFinished (ran: number, sinceStart: number): void {
    this.#need ??= new MovingAverage(ran, sampleWeight)
    this.#need.add(ran)
    this.#stretch.add(Math.max(1, sinceStart / Math.max(1, ran)))
  }

  /** Returns the milliseconds for which an item is expected to need a slot, or 0 as long as no item was finished. */
  remainingOf ({ ran }: Pick<ItemUrgency, 'ran'>): number {
    const need = this.#need?.value ?? 0
    return Math.max(need - ran, need * minimumNeedShare)
  }

  /** Whether an item is expected to finish after its deadline even if it gets a slot now, and loses it as often as others do. */
  isLost (item: ItemUrgency, now: number): boolean {
    return now + this.remainingOf(item) * this.#stretch.value > item.due
  }

  /**
   * Returns the items in the order in which they are served: those that can be in time by deadline, then the others, the oldest first.
   * Among both, those that continue an output come first, since fewer targets can serve them.
   */
  inOrder (now: number): readonly SlotRequest[] {
    const inTime: SlotRequest[] = []
    const lost: SlotRequest[] = []
    for (const request of this.#waiting.values()) {
      (this.isLost(request, now) ? lost : inTime).push(request)
    }
    return [...inTime.sort(byVersionAndDue), ...lost.sort(byVersionAndDue)]
  }
}

function byVersionAndDue (left: SlotRequest, right: SlotRequest): number {
  return Number(left.continues === null) - Number(right.continues === null) || left.due - right.due || right.ran - left.ran
}
