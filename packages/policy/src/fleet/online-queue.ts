/**
 * Online requests that wait for a slot, in the order in which they get one. Load: bursts beyond all slots, whose callers are
 * rejected and come back: who has been rejected before is served first, so that nobody is rejected twice while newcomers are served.
 * Streams that go on at the few targets of their software version: they are served before all others. Accounts of several ranks that
 * together ask for more than all slots, or one that floods: among requests of one class, {@link RankOrder} decides.
 */
import { WorkClass } from '@arbutusloft/protocol'
import type { HeldSlot, SlotRequest } from './fleet-messages.js'
import type { Flow } from './fair-share.js'
import { RankOrder } from './rank-order.js'
import type { RequestsAhead } from './rank-order.js'
import { versionOf } from './software-version.js'

/** A request that waits. */
export interface WaitingRequest {
  readonly request: SlotRequest
  /** Time in milliseconds since the epoch. */
  readonly queuedAt: number
  readonly flow: Flow
}

/** Interval at which accounts that need not be remembered are forgotten, which examines all accounts. */
const pruneIntervalMilliseconds = 10_000

/** A request that was removed to be refused. */
export interface RemovedRequest extends WaitingRequest {
  /** What is served before it; null where no request has a client account. */
  readonly ahead: RequestsAhead | null
}

/**
 * Multiple of a request's `patience` after which a waiting request is rejected. Up to then a late request stays queued: a
 * late answer is worth less than a timely one but more than none. It gets only slots that no timely request needs.
 */
const maximumWaitFactor = 5
/** Share of its patience within which a request may be rejected because of one that came back; later, it has waited too long for that. */
const earlyRejectionShare = 1 / 3

/** Requests of the classes that are served one after the other, each by the time of their callers' first attempts. */
interface RequestClasses {
  readonly boundTimely: WaitingRequest[]
  readonly boundLate: WaitingRequest[]
  readonly timely: WaitingRequest[]
  readonly late: WaitingRequest[]
}

/** Keeps requests by the time of their callers' first attempts. */
export class OnlineQueue {
  #waiting: WaitingRequest[] = []
  readonly #permits = new Set<string>()
  /** Numbers of requests by what {@link versionOf} returns for them. */
  readonly #counts = new Map<string | null, number>()
  readonly #rankOrder = new RankOrder()
  /** Number of requests of client accounts; without any, the order is that of first attempts. */
  #ofAccounts = 0
  /** Time at which accounts were last forgotten, in milliseconds since the epoch. */
  #prunedAt = 0
  /** Classes as of a time, until requests are removed: a newcomer's place and the request that it displaces are found in the same ones. */
  #classified: { readonly now: number, readonly classes: RequestClasses } | null = null

  get length (): number {
    return this.#waiting.length
  }

  /** Software versions to which waiting requests are bound, and null if some are bound to none. */
  get versions (): ReadonlyArray<string | null> {
    return [...this.#counts.keys()]
  }

  has (permit: string): boolean {
    return this.#permits.has(permit)
  }

  /** Returns the waiting request of a permit, or undefined if there is none. */
  get (permit: string): SlotRequest | undefined {
    return this.has(permit) ? this.#waiting.find(({ request }) => request.permit === permit)?.request : undefined
  }

  add (request: SlotRequest, now: number): void {
    const entry = { request, queuedAt: now, flow: this.#rankOrder.flowOf(request) }
    insert(this.#waiting, entry)
    if (this.#classified?.now === now) {
      insert(classOf(entry, this.#classified.classes, now), entry)
    } else {
      this.#classified = null
    }
    this.#count(entry, 1)
  }

  /** Removes the requests that meet the condition and returns them. */
  remove (condition: (entry: WaitingRequest) => boolean): readonly WaitingRequest[] {
    const removed = this.#waiting.filter(condition)
    if (removed.length > 0) {
      this.#classified = null
      const gone = new Set(removed)
      this.#waiting = this.#waiting.filter(entry => !gone.has(entry))
      for (const entry of removed) {
        this.#count(entry, -1)
      }
    }
    return removed
  }

  /** Returns the number of requests of a holder. */
  countOf (holder: string): number {
    return this.#waiting.filter(({ request }) => request.holder === holder).length
  }

  /** Records a request that has arrived, unless it waits already. */
  recordAsked (request: SlotRequest, now: number): void {
    if (request.caller !== undefined && !this.has(request.permit)) {
      if (this.length === 0 && Math.abs(now - this.#prunedAt) > pruneIntervalMilliseconds) {
        this.#rankOrder.prune(now)
        this.#prunedAt = now
      }
      this.#rankOrder.recordAsked(request, now)
    }
  }

  /** Records that a request got a slot, whether it has waited or not. */
  recordGranted (request: SlotRequest, now: number): void {
    if (request.caller !== undefined && request.workClass === WorkClass.Online) {
      const isInTurn = request.continues === null && !this.#rankOrder.isOwed(request, now)
      this.#rankOrder.recordServed(request, this.length === 0 || isInTurn, now)
    }
  }

  /** Records slots that another owner granted. */
  recordHeld (slots: readonly HeldSlot[]): void {
    for (const { account, tokens, workClass } of slots) {
      if (account !== undefined && workClass === WorkClass.Online) {
        this.#rankOrder.recordHeld(account, tokens ?? 1)
      }
    }
  }

  /**
   * Counts the requests that are served before a new one. Where no request has a client account, these are the requests in time of callers whose
   * first attempts were earlier.
   */
  aheadOf (request: SlotRequest, now: number): RequestsAhead {
    if (!this.#isRanked(request)) {
      const count = this.#countEarlierInTime(now - request.spent, now)
      return { count, whateverShare: count, whateverRank: count }
    }
    const { boundTimely, boundLate, timely } = this.#classes(now)
    return this.#rankOrder.countAhead(request, [...boundTimely, ...boundLate], timely, indexBehind(timely, now - request.spent), now)
  }

  /** Whether a request that can't be in time may be waiting because of a request that has just been added. */
  mayDisplace (added: SlotRequest): boolean {
    return added.spent > 0 || added.caller !== undefined
  }

  /**
   * Yields the requests in the order in which they are served: those that continue a stream, then the others; of both, those in time,
   * then the late ones.
   */
  inOrder (now: number): Iterable<WaitingRequest> {
    const { boundTimely, boundLate, timely, late } = this.#classes(now)
    return this.#ofAccounts === 0 ? [...boundTimely, ...boundLate, ...timely, ...late] : this.#rankOrder.inOrder([boundTimely, boundLate, timely, late], now)
  }

  /** Whether a waiting request meets the condition. */
  some (condition: (request: SlotRequest) => boolean): boolean {
    return this.#waiting.some(({ request }) => condition(request))
  }

  /** Removes the requests that have waited too long even for a late answer, and returns them. */
  removeExpired (now: number): readonly RemovedRequest[] {
    const expired = this.remove(({ request, queuedAt }) => now - queuedAt > request.patience * maximumWaitFactor)
    // Requests of one account and rank have nearly the same place.
    const counted = new Map<string, RequestsAhead>()
    return expired.map(entry => {
      const { request } = entry
      if (request.caller === undefined) {
        return { ...entry, ahead: null }
      }
      const key = `${request.caller.rank} ${request.caller.account}`
      const ahead = counted.get(key) ?? this.aheadOf(request, now)
      counted.set(key, ahead)
      return { ...entry, ahead }
    })
  }

  /**
   * Removes and returns the last request in time if it would be late, now that another is ahead of it, and has not waited for long.
   * Passes over requests that continue a stream: their callers have a part of the answer.
   *
   * @param added request that has just been added
   * @param millisecondsPerRequest time in which the queue advances by one request
   */
  removeDisplaced (added: SlotRequest, now: number, millisecondsPerRequest: number): RemovedRequest | null {
    const { boundTimely, timely } = this.#classes(now)
    const isRanked = this.#isRanked(added)
    const last = isRanked ? this.#rankOrder.last(boundTimely, timely, now) : timely.at(-1)
    if (last === undefined || (isRanked && last.request === added)) {
      return null
    }
    const waited = now - last.queuedAt
    const { patience } = last.request
    if (waited > patience * earlyRejectionShare || waited + (boundTimely.length + timely.length) * millisecondsPerRequest <= patience) {
      return null
    }
    this.remove(entry => entry === last)
    return { ...last, ahead: isRanked ? this.aheadOf(last.request, now) : null }
  }

  /** Whether the order of requests depends on client accounts, given a request that has come or waits. */
  #isRanked ({ caller }: SlotRequest): boolean {
    return this.#ofAccounts > 0 || caller !== undefined
  }

  #classes (now: number): RequestClasses {
    if (this.#classified?.now === now) {
      return this.#classified.classes
    }
    const classes: RequestClasses = { boundTimely: [], boundLate: [], timely: [], late: [] }
    for (const entry of this.#waiting) {
      classOf(entry, classes, now).push(entry)
    }
    this.#classified = { now, classes }
    return classes
  }

  /** Returns the number of requests in time of callers whose first attempts were not after the given time. */
  #countEarlierInTime (firstAttemptAt: number, now: number): number {
    let count = 0
    for (const entry of this.#waiting) {
      count += firstAttemptOf(entry) <= firstAttemptAt && !isLate(entry, now) ? 1 : 0
    }
    return count
  }

  #count ({ request }: WaitingRequest, change: 1 | -1): void {
    if (change > 0) {
      this.#permits.add(request.permit)
    } else {
      this.#permits.delete(request.permit)
    }
    this.#ofAccounts += request.caller === undefined ? 0 : change
    const version = versionOf(request)
    const count = (this.#counts.get(version) ?? 0) + change
    if (count === 0) {
      this.#counts.delete(version)
    } else {
      this.#counts.set(version, count)
    }
  }
}

/** Inserts a request behind those of callers whose first attempts were not later. */
function insert (entries: WaitingRequest[], entry: WaitingRequest): void {
  entries.splice(indexBehind(entries, firstAttemptOf(entry)), 0, entry)
}

/** Returns the number of requests of callers whose first attempts were not after the given time. */
function indexBehind (entries: readonly WaitingRequest[], firstAttemptAt: number): number {
  return entries.findLastIndex(other => firstAttemptOf(other) <= firstAttemptAt) + 1
}

function classOf (entry: WaitingRequest, { boundTimely, boundLate, timely, late }: RequestClasses, now: number): WaitingRequest[] {
  if (isBound(entry)) {
    return isLate(entry, now) ? boundLate : boundTimely
  }
  return isLate(entry, now) ? late : timely
}

/** Whether only targets of one software version can serve the request. */
function isBound ({ request }: WaitingRequest): boolean {
  return request.continues !== null
}

/** Returns when the caller made its first attempt, as far as is known, in milliseconds since the epoch. */
function firstAttemptOf ({ request, queuedAt }: WaitingRequest): number {
  return queuedAt - request.spent
}

function isLate ({ request, queuedAt }: WaitingRequest, now: number): boolean {
  return now - queuedAt > request.patience
}
