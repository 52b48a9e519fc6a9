/**
 * Order of waiting online requests by rank and by their accounts' shares. Load: more requests of several client accounts than slots, for seconds.
 * Accounts below their floor come first, then higher ranks; within a rank, the accounts that have used less of their share.
 */
import { costOf, FairShare } from './fair-share.js'
import type { Flow, FlowProgress } from './fair-share.js'
import type { SlotCaller, SlotRequest } from './fleet-messages.js'
import type { QueueStanding } from './queue-standing.js'
import { OrderCause } from './queue-standing.js'
import { ServiceFloor } from './service-floor.js'

/** What the order needs of a waiting request. */
export interface OrderedEntry {
  readonly request: SlotRequest
  /** As {@link RankOrder.flowOf} returned it. */
  readonly flow: Flow
}

/** Numbers of requests that are served before another one. */
export interface RequestsAhead {
  readonly count: number
  /** Those that would also be ahead if its account had used less of its share than all others. */
  readonly whateverShare: number
  /** Those that would also be ahead if no request had a higher rank. */
  readonly whateverRank: number
}

/** Place of a request in the order; see {@link compareWith}. */
interface Place {
  /** Whether its account is owed the request, whatever its rank. */
  readonly isOwed: boolean
  readonly rank: number
  /** Virtual time at which it starts, in tokens. */
  readonly start: number
  /** Index in the order of first attempts, which decides between equals. */
  readonly index: number
}

/** Requests of one flow and class, by the time of their first attempts. */
interface FlowQueue {
  readonly progress: FlowProgress
  readonly indexes: number[]
  /** Number of the first of them that the account is owed. */
  owed: number
  /** Number of those that have been yielded. */
  next: number
}

/** Who asks in a request whose holder names no account, as holders of earlier builds. */
const unknownCaller: SlotCaller = { account: '', rank: 0, tokens: 1, isCounted: true }

/** Orders requests, and keeps what accounts were served. */
export class RankOrder {
  readonly #share = new FairShare()
  readonly #floor = new ServiceFloor()

  /** Returns the flow of a request; it stays the same until {@link prune}. */
  flowOf ({ caller = unknownCaller }: SlotRequest): Flow {
    return this.#share.flowOf(caller.account, caller.rank)
  }

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
    this.#share.recordServed(this.flowOf(request), costOf(caller), isInTurn)
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
    const pass = new Pass(this.#share, this.#floor, now)
    for (const entries of classes) {
      yield * merge(entries, pass)
    }
  }

  /**
   * Returns the request that is served last, or undefined if there is none.
   *
   * @param before requests of the classes before
   */
  last<Entry extends OrderedEntry> (before: readonly OrderedEntry[], entries: readonly Entry[], now: number): Entry | undefined {
    const pass = new Pass(this.#share, this.#floor, now)
    before.forEach(entry => { pass.advance(entry) })
    let last: Entry | undefined
    let lastPlace: Place | null = null
    let index = 0
    for (const entry of entries) {
      const progress = pass.progressOf(entry.flow)
      const isOwed = progress.owed.left > 0
      if (lastPlace === null || compareWith(lastPlace, isOwed, progress.rank, progress.start, index) < 0) {
        last = entry
        lastPlace = { isOwed, rank: progress.rank, start: progress.start, index }
      }
      advance(progress, entry)
      index += 1
    }
    return last
  }

  /**
   * Counts the requests that are served before a new one.
   *
   * @param before requests of the classes before that of the new one
   * @param entries requests of its class by the time of their first attempts
   * @param index number of those whose first attempts were not after that of the new one
   */
  countAhead (request: SlotRequest, before: readonly OrderedEntry[], entries: readonly OrderedEntry[], index: number, now: number): RequestsAhead {
    const flow = this.flowOf(request)
    const pass = new Pass(this.#share, this.#floor, now)
    before.forEach(entry => { pass.advance(entry) })
    const own = placeBehind(pass.progressOf(flow), flow, entries, index)
    const unused = { ...own, isOwed: false, start: this.#share.virtualTimeOf(flow.rank) }
    let [count, whateverShare, whateverRank] = [before.length, before.length, before.length]
    let place = 0
    for (const entry of entries) {
      if (place === index) {
        // The new request stands between those at the index before and at the index.
        pass.advance({ request, flow })
        place += 1
      }
      const progress = pass.progressOf(entry.flow)
      const { rank, start } = progress
      const isOwed = progress.owed.left > 0
      const isAhead = compareWith(own, isOwed, rank, start, place) > 0
      count += isAhead ? 1 : 0
      whateverShare += compareWith(unused, isOwed, rank, start, place) > 0 ? 1 : 0
      whateverRank += isAhead && (isOwed || rank === own.rank) ? 1 : 0
      advance(progress, entry)
      place += 1
    }
    return { count, whateverShare, whateverRank }
  }
}

/** Goes through requests of all accounts, those of each account in the order in which they are served. */
class Pass {
  readonly #flows = new Map<Flow, FlowProgress>()
  readonly #owed = new Map<string, { left: number }>()

  constructor (private readonly share: FairShare, private readonly floor: ServiceFloor, private readonly now: number) {}

  progressOf (flow: Flow): FlowProgress {
    if (flow.latest?.pass === this) {
      return flow.latest
    }
    const progress = this.#flows.get(flow) ?? this.#begin(flow)
    flow.latest = progress
    return progress
  }

  /** Goes on to the request behind one. */
  advance (entry: OrderedEntry): void {
    advance(this.progressOf(entry.flow), entry)
  }

  #begin (flow: Flow): FlowProgress {
    const owed = this.#owed.get(flow.account) ?? { left: this.floor.creditOf(flow.account, this.now) }
    this.#owed.set(flow.account, owed)
    const progress = { pass: this, rank: flow.rank, start: this.share.startOf(flow), owed }
    this.#flows.set(flow, progress)
    return progress
  }
}

function advance (progress: FlowProgress, { request }: OrderedEntry): void {
  progress.start += costOf(request.caller ?? unknownCaller)
  progress.owed.left -= 1
}

/** Returns the place of a request of a flow that comes at an index. */
function placeBehind ({ rank, start, owed }: FlowProgress, flow: Flow, entries: readonly OrderedEntry[], index: number): Place {
  let [ownStart, left] = [start, owed.left]
  for (const entry of entries.slice(0, index)) {
    left -= entry.flow.account === flow.account ? 1 : 0
    ownStart += entry.flow === flow ? costOf(entry.request.caller ?? unknownCaller) : 0
  }
  return { isOwed: left > 0, rank, start: ownStart, index }
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
  const isOutranked = ahead.whateverRank < ahead.count && isInTime(ahead.whateverRank)
  return { standing: { cause: isOutranked ? OrderCause.Rank : OrderCause.Load, rank, position } }
}

/** Returns a number below 0 if a place comes before another one, which is given by its fields. */
function compareWith (place: Place, isOwed: boolean, rank: number, start: number, index: number): number {
  if (place.isOwed !== isOwed) {
    return place.isOwed ? -1 : 1
  }
  return place.rank - rank || place.start - start || place.index - index
}

/** Yields entries by place. Those of one flow are in order, so that only the first one of each flow is compared. */
function * merge<Entry extends OrderedEntry> (entries: readonly Entry[], pass: Pass): Generator<Entry> {
  const queues = new Map<Flow, FlowQueue>()
  let index = 0
  for (const { flow } of entries) {
    const known = queues.get(flow)
    const queue = known ?? { progress: pass.progressOf(flow), indexes: [], owed: 0, next: 0 }
    if (known === undefined) {
      queues.set(flow, queue)
    }
    queue.indexes.push(index)
    queue.owed += queue.progress.owed.left > 0 ? 1 : 0
    queue.progress.owed.left -= 1
    index += 1
  }
  const heads = [...queues.values()]
  for (let parent = (heads.length >>> 1) - 1; parent >= 0; parent -= 1) {
    siftDown(heads, parent)
  }
  for (let head = heads[0]; head !== undefined; head = heads[0]) {
    const entry = entries[head.indexes[head.next] ?? -1]
    if (entry !== undefined) {
      yield entry
      head.progress.start += costOf(entry.request.caller ?? unknownCaller)
    }
    head.next += 1
    const last = heads.length - 1
    if (head.next === head.indexes.length) {
      heads[0] = heads[last] ?? head
      heads.pop()
    }
    siftDown(heads, 0)
  }
}

/** Moves a flow down a binary heap, whose first one is served next, until no flow below comes before it. */
function siftDown (heads: FlowQueue[], from: number): void {
  const moved = heads[from]
  if (moved === undefined) {
    return
  }
  let parent = from
  for (let child = 2 * parent + 1; child < heads.length; child = 2 * parent + 1) {
    const [left, right] = [heads[child], heads[child + 1]]
    const isRight = left !== undefined && right !== undefined && isBefore(right, left)
    const first = isRight ? right : left
    if (first === undefined || !isBefore(first, moved)) {
      break
    }
    heads[parent] = first
    parent = isRight ? child + 1 : child
  }
  heads[parent] = moved
}

/** Whether the first request of a flow that has not been yielded comes before that of another one. */
function isBefore (left: FlowQueue, right: FlowQueue): boolean {
  const [isOwed, isOtherOwed] = [left.next < left.owed, right.next < right.owed]
  if (isOwed !== isOtherOwed) {
    return isOwed
  }
  const { progress } = left
  const { progress: other } = right
  const difference = progress.rank - other.rank || progress.start - other.start || (left.indexes[left.next] ?? Infinity) - (right.indexes[right.next] ?? Infinity)
  return difference < 0
}
