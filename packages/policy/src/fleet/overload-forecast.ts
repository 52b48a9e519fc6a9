/**
 * When callers that are rejected should come back. Load: bursts beyond all slots that last for seconds; callers that come back
 * while the burst lasts would take the slots of others, or be rejected again.
 */
import type { SlotCaller } from './fleet-messages.js'

/** A caller that is expected to come back. */
interface ExpectedReturn {
  /** Time in milliseconds since the epoch. */
  readonly at: number
  /** Undefined where the deployment has no client accounts. */
  readonly caller: SlotCaller | undefined
}

/** Time without a rejection after which an overload is over. */
const calmMilliseconds = 400
/** Expected length of an overload before any was seen; the users' bursts last between one and four seconds. */
const initialLengthMilliseconds = 1_500
/** Weight of the newest overload in the expected length. */
const lengthWeight = 0.3
/** Share of its length so far that an overload which lasts longer than expected is expected to go on for. */
const overtimeShare = 0.25
/** Share of the slots that become free which is set aside for callers that come back; the rest is for newcomers. */
const returnShare = 0.25

/** Learns how long overloads last, and spreads the callers that come back over the time after their expected end. */
export class OverloadForecast {
  #length = initialLengthMilliseconds
  /** Time of the first and of the latest rejection of the present overload, in milliseconds since the epoch; null if there was none. */
  #startedAt: number | null = null
  #rejectedAt = 0
  /** The earliest first. */
  #returns: ExpectedReturn[] = []

  /**
   * Returns the milliseconds after which a caller that is rejected now should come back, and expects it then.
   *
   * @param slotsPerMillisecond rate at which slots become free
   * @param latest greatest result, in milliseconds
   */
  nextReturn (now: number, slotsPerMillisecond: number, latest: number, caller?: SlotCaller): number {
    this.#recordRejection(now)
    this.#forgetPast(now)
    const elapsed = now - (this.#startedAt ?? now)
    const expectedEnd = now + Math.max(this.#length - elapsed, elapsed * overtimeShare)
    const gap = slotsPerMillisecond > 0 ? 1 / (slotsPerMillisecond * returnShare) : 0
    const at = Math.min(now + latest, Math.max(expectedEnd, (this.#returns.at(-1)?.at ?? 0) + gap))
    this.#returns.push({ at, caller })
    return at - now
  }

  /**
   * Returns the number of callers that are expected to come back within the given milliseconds. For a request of a client account, counts only callers of
   * higher ranks and of its own account: others that have used more of their share are served after it.
   */
  returnsWithin (now: number, milliseconds: number, caller?: SlotCaller): number {
    this.#forgetPast(now)
    const index = this.#returns.findIndex(({ at }) => at > now + milliseconds)
    const count = index < 0 ? this.#returns.length : index
    return caller === undefined ? count : this.#returns.slice(0, count).filter(other => isAheadOf(other.caller, caller)).length
  }

  #forgetPast (now: number): void {
    const index = this.#returns.findIndex(({ at }) => at >= now)
    this.#returns = index < 0 ? [] : this.#returns.slice(index)
  }

  #recordRejection (now: number): void {
    if (this.#startedAt === null || now - this.#rejectedAt > calmMilliseconds) {
      if (this.#startedAt !== null) {
        this.#length += lengthWeight * (this.#rejectedAt - this.#startedAt - this.#length)
      }
      this.#startedAt = now
    }
    this.#rejectedAt = now
  }
}

/** Whether requests of one caller may be served before requests of another one that come earlier. */
function isAheadOf (caller: SlotCaller | undefined, other: SlotCaller): boolean {
  return caller === undefined || caller.rank < other.rank || (caller.rank === other.rank && caller.account === other.account)
}
