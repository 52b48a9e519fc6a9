/**
 * Order of waiting online requests by rank and by their accounts' shares. Load: more requests of several client accounts than slots, for seconds.
 * Accounts below their floor come first, then higher ranks; within a rank, the accounts that have used less of their share.
 */
import { costOf, FairShare } from './fair-share.js'
import type { Flow } from './fair-share.js'
import type { SlotCaller, SlotRequest } from './fleet-messages.js'
import type { QueueStanding } from './queue-standing.js'
import { OrderCause } from './queue-standing.js'
import { ServiceFloor } from './service-floor.js'

/** What the order needs of a waiting request. */
export interface OrderedEntry {
  readonly request: SlotRequest
}

/** Place of a request in the order; see {@link comparePlaces}. */
interface Place {
  /** Whether its account is owed the request, whatever its rank. */
  readonly isOwed: boolean
  readonly rank: number
  /** Virtual time at which it starts, in tokens. */
  readonly start: number
  /** Index in the order of first attempts, which decides between equals. */
  readonly index: number
}

interface PlacedEntry<Entry> {
  readonly entry: Entry
  readonly flow: Flow
  readonly place: Place
}

/** Numbers of requests that are served before another one. */
export interface RequestsAhead {
  readonly count: number
  /** Those that would also be ahead if its account had used less of its share than all others. */
  readonly whateverShare: number
  /** Those that would also be ahead if no request had a higher rank. */
  readonly whateverRank: number
}

/** Requests of flows and credits of accounts as they will be when the requests that come before in the order have been served. */
interface Progress {
  readonly starts: Map<Flow, number>
  readonly credits: Map<string, number>
}

function newProgress (): Progress {
  return { starts: new Map(), credits: new Map() }
}

/** Who asks in a request whose holder names no account, as holders of earlier builds. */
const unknownCaller: SlotCaller = { account: '', rank: 0, tokens: 1, isCounted: true }

/** Orders requests, and keeps what accounts were served. */
export class RankOrder {
  readonly #share = new FairShare()
  readonly #floor = new ServiceFloor()

  recordAsked ({ caller = unknownCaller }: SlotRequest, now: number): void {
    this.#floor.recordAsked(caller.account, now)
  }

  /**
   * Records that a request got a slot.
   *
   * @param isInTurn whether the request was the next in the order, or no other one waited
   */
  recordServed (request: SlotRequest, isInTurn: boolean, now: number): void {
    const { caller = unknownCaller } = request
    this.#share.recordServed(this.#flowOf(request), costOf(caller), isInTurn)
    this.#floor.recordServed(caller.account, now)
  }

  /** Records a slot of an account that another owner granted. */
  recordHeld (account: string, tokens: number): void {
    this.#share.recordHeld(account, costOf({ tokens }))
  }

  /** Whether the account of a request is owed one, so that its next request is served whatever its rank and share. */
  isOwed ({ caller = unknownCaller }: SlotRequest, now: number): boolean {
    return this.#floor.creditOf(caller.account, now) > 0
  }

  /** Forgets accounts that need not be remembered. Must not be called while requests wait. */
  prune (now: number): void {
    this.#share.prune()
    this.#floor.prune(now)
  }

  /**
   * Yields the requests in the order in which they are served, as far as they are asked for.
   *
   * @param classes requests by the time of their first attempts; all of one class come before those of the next one
   */
  * inOrder<Entry extends OrderedEntry> (classes: ReadonlyArray<readonly Entry[]>, now: number): Generator<Entry> {
    const progress = newProgress()
    for (const entries of classes) {
      yield * merge(this.#place(entries, progress, now))
    }
  }

  /**
   * Returns the request that is served last, or undefined if there is none.
   *
   * @param before requests of the classes before
   */
  last<Entry extends OrderedEntry> (before: readonly OrderedEntry[], entries: readonly Entry[], now: number): Entry | undefined {
    const progress = newProgress()
    this.#place(before, progress, now)
    let last: PlacedEntry<Entry> | undefined
    for (const placed of this.#place(entries, progress, now)) {
      last = last === undefined || comparePlaces(last.place, placed.place) < 0 ? placed : last
    }
    return last?.entry
  }

  /**
   * Counts the requests that are served before a new one.
   *
   * @param before requests of the classes before that of the new one
   * @param entries requests of its class by the time of their first attempts
   * @param index number of those whose first attempts were not after that of the new one
   */
  countAhead (request: SlotRequest, before: readonly OrderedEntry[], entries: readonly OrderedEntry[], index: number, now: number): RequestsAhead {
    const progress = newProgress()
    this.#place(before, progress, now)
    const flow = this.#flowOf(request)
    const earlier = this.#place(entries.slice(0, index), progress, now)
    const own = this.#next(request, flow, index, progress, now)
    const later = this.#place(entries.slice(index), progress, now, index + 1)
    const unused = { ...own, isOwed: false, start: this.#share.virtualTimeOf(flow.rank) }
    let [count, whateverShare, whateverRank] = [before.length, before.length, before.length]
    for (const { place } of [...earlier, ...later]) {
      const isAhead = comparePlaces(place, own) < 0
      count += isAhead ? 1 : 0
      whateverShare += comparePlaces(place, unused) < 0 ? 1 : 0
      whateverRank += isAhead && (place.isOwed || place.rank === own.rank) ? 1 : 0
    }
    return { count, whateverShare, whateverRank }
  }

  /** Returns the places of requests in one pass, given in the order of their first attempts, which is that of each account's requests. */
  #place<Entry extends OrderedEntry> (entries: readonly Entry[], progress: Progress, now: number, firstIndex = 0): Array<PlacedEntry<Entry>> {
    return entries.map((entry, index) => {
      const flow = this.#flowOf(entry.request)
      return { entry, flow, place: this.#next(entry.request, flow, firstIndex + index, progress, now) }
    })
  }

  #next ({ caller = unknownCaller }: SlotRequest, flow: Flow, index: number, { starts, credits }: Progress, now: number): Place {
    const start = starts.get(flow) ?? this.#share.startOf(flow)
    starts.set(flow, start + costOf(caller))
    const credit = credits.get(flow.account) ?? this.#floor.creditOf(flow.account, now)
    credits.set(flow.account, credit - 1)
    return { isOwed: credit > 0, rank: flow.rank, start, index }
  }

  #flowOf ({ caller = unknownCaller }: SlotRequest): Flow {
    return this.#share.flowOf(caller.account, caller.rank)
  }
}

/**
 * Returns the place of a request that has to wait too long, for its refusal; nothing where it has no client account.
 *
 * @param isInTime whether a request could start in time with this many others ahead
 */
export function standingMark ({ caller }: SlotRequest, ahead: RequestsAhead | null, isInTime: (ahead: number) => boolean): { readonly standing?: QueueStanding } {
  if (caller === undefined || ahead === null) {
    return {}
  }
  const { rank } = caller
  const position = ahead.count + 1
  if (isInTime(ahead.whateverShare)) {
    return { standing: { cause: OrderCause.Share, rank, position } }
  }
  return { standing: { cause: isInTime(ahead.whateverRank) ? OrderCause.Rank : OrderCause.Load, rank, position } }
}

function comparePlaces (left: Place, right: Place): number {
  return Number(right.isOwed) - Number(left.isOwed) || left.rank - right.rank || left.start - right.start || left.index - right.index
}

/** Yields entries by place. Those of one flow are in order, so that only the first one of each flow is compared. */
function * merge<Entry> (placed: ReadonlyArray<PlacedEntry<Entry>>): Generator<Entry> {
  const byFlow = new Map<Flow, Array<PlacedEntry<Entry>>>()
  for (const one of placed) {
    const others = byFlow.get(one.flow)
    if (others === undefined) {
      byFlow.set(one.flow, [one])
    } else {
      others.push(one)
    }
  }
  // The flow whose first request is served next comes last, where it is removed and inserted again.
  const heads = [...byFlow.values()].map(entries => ({ entries, next: 0 })).sort((left, right) => compareHeads(right, left))
  for (let head = heads.pop(); head !== undefined; head = heads.pop()) {
    const first = head.entries[head.next]
    if (first !== undefined) {
      yield first.entry
    }
    head.next += 1
    if (head.next < head.entries.length) {
      heads.splice(insertionIndex(heads, head), 0, head)
    }
  }
}

interface FlowHead {
  readonly entries: ReadonlyArray<PlacedEntry<unknown>>
  next: number
}

function compareHeads (left: FlowHead, right: FlowHead): number {
  const [leftPlace, rightPlace] = [left.entries[left.next]?.place, right.entries[right.next]?.place]
  return leftPlace === undefined || rightPlace === undefined ? 0 : comparePlaces(leftPlace, rightPlace)
}

/** Returns the index at which a head keeps the others in descending order, by binary search. */
function insertionIndex (heads: readonly FlowHead[], head: FlowHead): number {
  let [low, high] = [0, heads.length]
  while (low < high) {
    const middle = (low + high) >>> 1
    const other = heads[middle]
    if (other !== undefined && compareHeads(other, head) > 0) {
      low = middle + 1
    } else {
      high = middle
    }
  }
  return low
}
