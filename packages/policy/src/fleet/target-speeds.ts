/**
 * What the speeds of targets mean for a request. Load: online requests on targets of which two thirds run at 0.7 of the usual speed and one third at 1.7,
 * with 15 of 100 answers that take 2.5 times as long. A target with many busy slots may then bring the first event sooner than one with few.
 */
import { WorkClass } from '@arbutusloft/protocol'
import type { TargetSlots } from './fleet-slots.js'
import { RelativeTimes } from './relative-times.js'
import type { TimedTarget } from './relative-times.js'

/** Times of a complete answer, which a holder reports when it releases the slot. */
export interface AnswerTiming {
  /** Milliseconds from the sending of the request to the first event. */
  readonly firstEvent: number
  /** Mean milliseconds between further events; null if there are too few of them, and for answers without events, whose first data counts as the first event. */
  readonly betweenEvents: number | null
}

/** What an answer's times depend on beside its target. */
export interface AnswerConditions {
  readonly workClass: WorkClass
  /** Whether the target probably had the prompt's beginning cached, which it then need not process. */
  readonly isPrefixCached: boolean
  /** Slots of the target in use when the request was granted, and when it ended, this one included. */
  readonly slotsAtStart: number
  readonly slotsAtEnd: number
}

/** What is known of a target's time to the first event of an online request, for logs and metrics. */
export interface ExpectedTime {
  readonly target: string
  /** Milliseconds that a request is expected to take at the present number of slots in use. */
  readonly expected: number
  /** Milliseconds that the latest request took. */
  readonly measured: number
  readonly samples: number
}

/**
 * Shortest time to the first event that counts, in milliseconds. Clocks tell whole milliseconds and zones are 1 to 3 ms apart, so that shorter times would
 * make equal targets look unequal.
 */
const minimumFirstEvent = 5
/** Longest time that a report may name: longer than any request runs. */
const maximumTimingMilliseconds = 600_000
/** Ratio of the times of two neighbouring speed classes: less than what counts as a difference between targets. */
const speedClassRatio = 1.25
/** Greatest class in each direction, which bounds the number of candidates. */
const maximumSpeedClass = 6
/**
 * Least part of the usual time that one busy slot outweighs. Without it the fastest target would take all work up to its last slot wherever times do not rise
 * with the load, because of differences that are within the error of the estimates.
 */
const minimumShareOfSlot = 0.1
/** Load of an idle target that takes no time at all, which no other target can have less of. */
const leastLoad = -1 / minimumShareOfSlot
/** Least time, and least number of online requests of the service, between two that are sent to idle slow targets to learn whether they still are slow. */
const retryMilliseconds = 1_000
const requestsPerRetry = 200

/** Learns how fast the targets of a service are, from the reports of its holders. */
export class TargetSpeeds {
  readonly #firstEvents = new RelativeTimes()
  readonly #betweenEvents = new RelativeTimes()
  /** Latest time to the first event of an online request by target, in milliseconds. */
  readonly #measured = new Map<string, number>()
  /** Time of the latest choice of a target whose retry was due, in milliseconds since the epoch, and online requests since then. */
  #retriedAt = -Infinity
  #requestsSinceRetry = 0

  /** Records the times of an answer. */
  record (target: TimedTarget, { workClass, isPrefixCached, slotsAtStart, slotsAtEnd }: AnswerConditions, { firstEvent, betweenEvents }: AnswerTiming, now: number): void {
    // An answer without events comes as a whole, after far longer than the first event of a stream. Targets that cache much are not faster.
    const group = `${workClass}${betweenEvents === null ? '/whole' : ''}${isPrefixCached ? '/cached' : ''}`
    this.#firstEvents.record(target, group, slotsAtStart, Math.max(minimumFirstEvent, firstEvent), now)
    if (betweenEvents !== null) {
      this.#betweenEvents.record(target, workClass, Math.round((slotsAtStart + slotsAtEnd) / 2), betweenEvents, now)
    }
    if (workClass === WorkClass.Online) {
      this.#measured.set(target.id, firstEvent)
    }
  }

  /** Whether the speeds of targets differ so much that they matter for this class of work. */
  areUnequal (workClass: WorkClass, now: number): boolean {
    return this.#timesOf(workClass).areUnequal(now)
  }

  /**
   * Returns the number of busy slots that a target's load and speed are worth for a request, on a target of the mean speed. It is the number of granted
   * slots while speeds do not differ. Items prefer fast targets as well: in the model at 0.95 of the capacity, items that leave these to
   * online requests while few slots are free take 9% longer, for first events that come 3 ms sooner.
   */
  loadOf (target: TargetSlots, workClass: WorkClass, now: number): number {
    const { granted } = target
    const times = this.#timesOf(workClass)
    if (!times.areUnequal(now)) {
      return granted
    }
    if (this.#isRetryDue(target, workClass, now)) {
      return leastLoad
    }
    // Without a stream of this class, the factors are known from other answers.
    const usual = times.usualTime(workClass, granted + 1, now) ?? 1
    const perSlot = Math.max(times.increasePerSlot(workClass, target.slots, now), usual * minimumShareOfSlot)
    return granted + (times.factorOf(target, now) - 1) * usual / perSlot
  }

  /** Takes note of the choice of a target, just before the slot is counted. */
  onChosen (target: TargetSlots, workClass: WorkClass, now: number): void {
    if (this.#isRetryDue(target, workClass, now)) {
      this.#retriedAt = now
      this.#requestsSinceRetry = 0
    } else if (workClass === WorkClass.Online) {
      this.#requestsSinceRetry += 1
    }
  }

  /** Returns the milliseconds to the first event of an online request that a target is granted next; null if that is unknown. */
  expectedFirstEvent (target: TargetSlots, now: number): number | null {
    const usual = this.#firstEvents.usualTime(WorkClass.Online, target.granted + 1, now)
    return usual === null ? null : usual * this.#firstEvents.factorOf(target, now)
  }

  /** Returns a number that targets of about the same speed share: 0 for the mean, greater ones for slower targets, and 0 for all while speeds do not differ. */
  speedClassOf (target: Pick<TargetSlots, 'id' | 'born'>, now: number): number {
    const times = [this.#firstEvents, this.#betweenEvents].find(kind => kind.areUnequal(now))
    if (times === undefined) {
      return 0
    }
    const steps = Math.round(Math.log(times.factorOf(target, now)) / Math.log(speedClassRatio))
    return Math.max(-maximumSpeedClass, Math.min(maximumSpeedClass, steps))
  }

  /** Returns what is known of the targets that have lately answered online requests, the slowest first, at most as many as given. */
  expectedTimes (targets: Iterable<TargetSlots>, maximum: number, now: number): readonly ExpectedTime[] {
    const known: ExpectedTime[] = []
    for (const target of targets) {
      const expected = this.expectedFirstEvent(target, now)
      const measured = this.#measured.get(target.id)
      const samples = this.#firstEvents.samplesOf(target, now)
      if (expected !== null && measured !== undefined && samples > 0) {
        known.push({ target: target.id, expected, measured, samples })
      }
    }
    return known.sort((left, right) => right.expected - left.expected).slice(0, maximum)
  }

  /** As {@link RelativeTimes.retainTargets}. */
  retainTargets (targets: readonly TimedTarget[]): void {
    this.#firstEvents.retainTargets(targets)
    this.#betweenEvents.retainTargets(targets)
    const ids = new Set(targets.map(({ id }) => id))
    for (const id of this.#measured.keys()) {
      if (!ids.has(id)) {
        this.#measured.delete(id)
      }
    }
  }

  /**
   * Whether an idle target gets an online request to correct its estimate. While other targets have free slots, it would get none, and its estimate would
   * stay as it is. Targets that are as slow as expected cost one of 200 requests.
   */
  #isRetryDue (target: TargetSlots, workClass: WorkClass, now: number): boolean {
    // The wall clock may have been set back.
    const isAllowed = (this.#requestsSinceRetry >= requestsPerRetry && Math.abs(now - this.#retriedAt) >= retryMilliseconds) || this.#firstEvents.isContradicted(target, now)
    return workClass === WorkClass.Online && target.granted === 0 && isAllowed && this.#firstEvents.areUnequal(now) && this.#firstEvents.isDoubtful(target, now)
  }

  // An online request is judged by its first event, an item by its end.
  #timesOf (workClass: WorkClass): RelativeTimes {
    return workClass === WorkClass.Online ? this.#firstEvents : this.#betweenEvents
  }
}

/** Returns the times that a message names, or null if there are none or they cannot be. */
export function receivedTiming (value: unknown): AnswerTiming | null {
  if (typeof value !== 'object' || value === null || !('firstEvent' in value) || !isTime(value.firstEvent)) {
    return null
  }
  const betweenEvents = 'betweenEvents' in value && isTime(value.betweenEvents) ? value.betweenEvents : null
  return { firstEvent: value.firstEvent, betweenEvents }
}

function isTime (value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= maximumTimingMilliseconds
}
