/**
 * Batch items that wait for a slot. Load: more batch work than slots, where items in the mere order of their deadlines all
 * become late one after the other: an item that cannot be in time any more waits for those that can. Jobs of one client account that would take
 * all slots beside equally urgent items of others: items of the account that holds fewer slots come first.
 */
import { MovingAverage } from '../util/moving-average.js'
import { dueSpanOf } from './due-spans.js'
import type { SlotRequest } from './fleet-messages.js'

/** Deadline and progress of an item; see {@link SlotRequest}. */
export type ItemUrgency = Pick<SlotRequest, 'due' | 'ran'>

/** Weight of the newest item in the averages. */
const sampleWeight = 0.05
/** Share of the average time that an item still needs at least, however long it has run. */
const minimumNeedShare = 0.15

/** Orders items, and learns how long they need. */
export class BatchQueue {
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

  /** Whether an item waits that is expected to finish in time only if it gets a slot within the given milliseconds. */
  hasUrgent (now: number, milliseconds: number): boolean {
    for (const request of this.#waiting.values()) {
      if (!this.isLost(request, now) && this.isLost(request, now + milliseconds)) {
        return true
      }
    }
    return false
  }

  /**
   * Returns the items in the order in which they are served: those that can be in time by deadline, then the others, the oldest first.
   * Among both, those that continue an output come first, since fewer targets can serve them. Of equally urgent ones, those of the client account
   * that holds the fewest slots come first.
   *
   * @param heldBy number of slots that an account holds
   */
  inOrder (now: number, heldBy: (account: string) => number): Iterable<SlotRequest> {
    const inTime: SlotRequest[] = []
    const lost: SlotRequest[] = []
    let hasAccounts = false
    for (const request of this.#waiting.values()) {
      hasAccounts ||= request.caller !== undefined
      const list = this.isLost(request, now) ? lost : inTime
      list.push(request)
    }
    const ordered = [inTime.sort(byVersionAndDue), lost.sort(byVersionAndDue)]
    return hasAccounts ? byAccount(ordered, heldBy) : ordered.flat()
  }
}

/** Yields items so that those of one span are given to accounts in turn, the account with the fewest slots first. */
function * byAccount (lists: ReadonlyArray<readonly SlotRequest[]>, heldBy: (account: string) => number): Generator<SlotRequest> {
  // Numbers of slots that accounts hold once the items before have got theirs.
  const held = new Map<string, number>()
  for (const list of lists) {
    for (let from = 0; from < list.length;) {
      const to = endOfSpan(list, from)
      const counted = list.slice(from, to).map(request => {
        const account = request.caller?.account ?? ''
        const count = held.get(account) ?? heldBy(account)
        held.set(account, count + 1)
        return { request, count }
      })
      // Sorting is stable: by deadline among items of accounts that hold as many slots.
      for (const { request } of counted.sort((left, right) => left.count - right.count)) {
        yield request
      }
      from = to
    }
  }
}

/** Returns the index behind the last item of the list that is as urgent as the one at an index, and also continues an output or not. */
function endOfSpan (list: readonly SlotRequest[], from: number): number {
  let to = from + 1
  while (to < list.length && isAsUrgent(list[from], list[to])) {
    to += 1
  }
  return to
}

function isAsUrgent (left: SlotRequest | undefined, right: SlotRequest | undefined): boolean {
  return left !== undefined && right !== undefined && dueSpanOf(left) === dueSpanOf(right) && (left.continues === null) === (right.continues === null)
}

function byVersionAndDue (left: SlotRequest, right: SlotRequest): number {
  return Number(left.continues === null) - Number(right.continues === null) || left.due - right.due || right.ran - left.ran
}
