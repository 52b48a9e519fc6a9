/** The queue of online requests as it was before client accounts had ranks and shares: the reference of requests without an account. */
import type { SlotRequest } from '../../src/index.js'
import { versionOf } from '../../src/fleet/software-version.js'

/** A request that waits. */
interface WaitingRequest {
  readonly request: SlotRequest
  /** Time in milliseconds since the epoch. */
  readonly queuedAt: number
}

/**
 * Multiple of a request's `patience` after which a waiting request is rejected. Up to then a late request stays queued: a
 * late answer is worth less than a timely one but more than none. It gets only slots that no timely request needs.
 */
const maximumWaitFactor = 5
/** Share of its patience within which a request may be rejected because of one that came back; later, it has waited too long for that. */
const earlyRejectionShare = 1 / 3

/** Keeps requests by the time of their callers' first attempts. */
export class PreviousOnlineQueue {
  #waiting: WaitingRequest[] = []
  readonly #permits = new Set<string>()
  /** Numbers of requests by what {@link versionOf} returns for them. */
  readonly #counts = new Map<string | null, number>()

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
    const entry = { request, queuedAt: now }
    const index = this.#waiting.findLastIndex(other => firstAttemptOf(other) <= firstAttemptOf(entry))
    this.#waiting.splice(index + 1, 0, entry)
    this.#count(entry, 1)
  }

  /** Removes the requests that meet the condition and returns them. */
  remove (condition: (entry: WaitingRequest) => boolean): readonly WaitingRequest[] {
    const removed = this.#waiting.filter(condition)
    if (removed.length > 0) {
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

  /** Returns the number of requests in time that are served before one of a caller whose first attempt was at the given time. */
  countAhead (firstAttemptAt: number, now: number): number {
    let count = 0
    for (const entry of this.#waiting) {
      count += firstAttemptOf(entry) <= firstAttemptAt && !isLate(entry, now) ? 1 : 0
    }
    return count
  }

  /**
   * Returns the requests in the order in which they are served: those that continue a stream, then the others; of both, those in time,
   * then the late ones.
   */
  inOrder (now: number): readonly WaitingRequest[] {
    const bound = this.#waiting.filter(isBound)
    return bound.length === 0 ? timelyFirst(this.#waiting, now) : [...timelyFirst(bound, now), ...timelyFirst(this.#waiting.filter(entry => !isBound(entry)), now)]
  }

  /** Removes the requests that have waited too long even for a late answer, and returns them. */
  removeExpired (now: number): readonly WaitingRequest[] {
    return this.remove(({ request, queuedAt }) => now - queuedAt > request.patience * maximumWaitFactor)
  }

  /**
   * Removes and returns the last request in time if it would be late, now that another is ahead of it, and has not waited for long.
   * Passes over requests that continue a stream: their callers have a part of the answer.
   *
   * @param millisecondsPerRequest time in which the queue advances by one request
   */
  removeDisplaced (now: number, millisecondsPerRequest: number): WaitingRequest | null {
    const timely = this.#waiting.filter(entry => !isLate(entry, now))
    const last = timely.findLast(entry => !isBound(entry))
    if (last === undefined) {
      return null
    }
    const waited = now - last.queuedAt
    const { patience } = last.request
    if (waited > patience * earlyRejectionShare || waited + timely.length * millisecondsPerRequest <= patience) {
      return null
    }
    this.remove(entry => entry === last)
    return last
  }

  #count ({ request }: WaitingRequest, change: 1 | -1): void {
    if (change > 0) {
      this.#permits.add(request.permit)
    } else {
      this.#permits.delete(request.permit)
    }
    const version = versionOf(request)
    const count = (this.#counts.get(version) ?? 0) + change
    if (count === 0) {
      this.#counts.delete(version)
    } else {
      this.#counts.set(version, count)
    }
  }
}

/** Returns the requests in time, then the late ones. */
function timelyFirst (entries: readonly WaitingRequest[], now: number): readonly WaitingRequest[] {
  const late = entries.filter(entry => isLate(entry, now))
  return late.length === 0 ? [...entries] : [...entries.filter(entry => !isLate(entry, now)), ...late]
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
