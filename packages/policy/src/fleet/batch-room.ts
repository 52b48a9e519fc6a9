/**
 * Slots that batch work leaves free while online load goes up and down in steps. Load: online requests between 0.38 and 1.84 times their mean, for
 * seconds each; in the upper steps, each of their fluctuations revoked the slots of items that had just been granted them.
 */

/** What decides on the slots that batch work leaves free. */
export interface BatchRoomDemand {
  /** Slots of the targets that accept work. */
  readonly slots: number
  /** Slots to leave free whatever the load. */
  readonly minimum: number
  /** Whether an item waits that would be late unless it got a slot within the given milliseconds. */
  readonly hasUrgent: (milliseconds: number) => boolean
}

/** Time between two samples of the load, so that not every decision sums up all targets. */
const sampleMilliseconds = 50
/** Time over which samples are averaged, so that a peak is that of a step and not of one sample. */
const spanMilliseconds = 250
/** Time for which loads are kept: longer than a cycle of 6.6 s. */
const historyMilliseconds = 10_000
/** Time for which the load is observed before it counts. After 10 s, too much batch work did not always show yet, and items were late. */
const learningMilliseconds = 20_000
/** Greatest and least load of a steady load differ by about four standard deviations in that time; steps differ by more than this many. */
const stepDeviations = 6
/** Share of the highest load that the lowest one is below if there are steps. */
const stepShare = 0.5
/** Standard deviations of the highest load that are left free. */
const roomDeviations = 1
/**
 * Share of the slots between the present load and the highest one that is left free. 0.3 and more made items late, since the time between upper
 * steps is what batch work has.
 */
const riseShare = 0.1
/** An item that would be late unless it got a slot within this time ends the room: an upper step with the time until slots are free. */
const urgentMilliseconds = 6_000
/** Time without an empty queue of items after which there is too much batch work to leave room; 10 s made items late beyond the capacity. */
const backlogMilliseconds = 5_000
/** Time for which the answer about urgent items is kept. */
const urgencyMilliseconds = 25

interface LoadSpan {
  /** Number of the span. */
  readonly span: number
  sum: number
  samples: number
}

/** Learns the steps of online load from the slots that it needs. */
export class BatchRoom {
  #spans: LoadSpan[] = []
  #observedSince = Infinity
  #sampledAt = -Infinity
  #queueEmptyAt = -Infinity
  #urgentAt = -Infinity
  #isUrgent = false
  #online = 0
  /** Highest online load in slots while there are steps, else null. */
  #peak: number | null = null
  #current = 0

  /** Slots that the latest decision left free beyond the minimum. */
  get current (): number {
    return this.#current
  }

  /**
   * Takes note of the load; called before each decision.
   *
   * @param waitingItems number of items that wait for a slot
   * @param onlineLoad returns the slots that online requests hold or wait for
   */
  observe (now: number, waitingItems: number, onlineLoad: () => number): void {
    if (now < this.#sampledAt) {
      // The wall clock was set back.
      this.#reset(now)
    }
    if (waitingItems === 0) {
      this.#queueEmptyAt = now
      this.#current = 0
    }
    if (now - this.#sampledAt < sampleMilliseconds) {
      return
    }
    if (now - this.#sampledAt > historyMilliseconds) {
      this.#reset(now)
    }
    this.#sampledAt = now
    this.#online = onlineLoad()
    this.#addSample(Math.floor(now / spanMilliseconds))
    this.#peak = now - this.#observedSince < learningMilliseconds ? null : peakOf(this.#spans.map(({ sum, samples }) => sum / samples))
  }

  /** Returns the number of slots that batch work leaves free: the minimum without steps, or if items would be late. */
  slotsLeft (now: number, { slots, minimum, hasUrgent }: BatchRoomDemand): number {
    const room = Math.max(minimum, this.#roomWithin(slots))
    const left = room > minimum && now - this.#queueEmptyAt <= backlogMilliseconds && !this.#hasUrgent(now, hasUrgent) ? room : minimum
    this.#current = left - minimum
    return left
  }

  #roomWithin (slots: number): number {
    // An upper step beyond all slots takes every slot of batch work, whatever is left free before.
    if (this.#peak === null || this.#peak > slots) {
      return 0
    }
    const deviation = roomDeviations * Math.sqrt(this.#peak)
    const rise = this.#peak - this.#online
    return Math.round(Math.max(riseShare * rise, Math.min(deviation, rise + deviation)))
  }

  #hasUrgent (now: number, hasUrgent: (milliseconds: number) => boolean): boolean {
    if (now - this.#urgentAt >= urgencyMilliseconds) {
      this.#urgentAt = now
      this.#isUrgent = hasUrgent(urgentMilliseconds)
    }
    return this.#isUrgent
  }

  #addSample (span: number): void {
    const last = this.#spans.at(-1)
    if (last?.span === span) {
      last.sum += this.#online
      last.samples += 1
      return
    }
    this.#spans = this.#spans.filter(known => known.span >= span - historyMilliseconds / spanMilliseconds)
    this.#spans.push({ span, sum: this.#online, samples: 1 })
  }

  #reset (now: number): void {
    this.#spans = []
    this.#observedSince = now
    this.#sampledAt = -Infinity
    this.#queueEmptyAt = -Infinity
    this.#urgentAt = -Infinity
    this.#peak = null
    this.#current = 0
  }
}

/** Returns the highest of the loads if they go up and down in steps, or null if they differ as those of a steady load do. */
function peakOf (loads: readonly number[]): number | null {
  const peak = Math.max(...loads)
  const lowest = Math.min(...loads)
  const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length
  return peak - lowest > stepDeviations * Math.sqrt(mean) && lowest <= peak * stepShare ? peak : null
}
