/** Counts what callers got in one run. */
import type { OnlineKind, FleetLoad } from '../fleet-load.js'
import { OnlineResult } from '../fleet-outcome.js'
import type { FleetOutcome } from '../fleet-outcome.js'

interface WorthSum {
  earned: number
  possible: number
}

/** Length of the windows of which the worst two are reported, in milliseconds. */
const windowMilliseconds = 2_000
const worstWindowCount = 2
/** Windows with a smaller share of the mean window's worth do not count among the worst. */
const minimumWindowShare = 0.1

/** Sums up the worth of requests and items as they end. */
export class Tally {
  readonly #online: Record<OnlineResult, number> = { inTime: 0, inTimeOnReturn: 0, late: 0, refused: 0, broken: 0, givenUp: 0 }
  readonly #onlineWorth: WorthSum = { earned: 0, possible: 0 }
  readonly #batchWorth: WorthSum = { earned: 0, possible: 0 }
  readonly #windows = new Map<number, WorthSum>()
  readonly #firstEvents: number[] = []
  #requestsBesideCuts = 0
  #inTimeBesideCuts = 0
  #items = 0
  #itemsInTime = 0
  #itemsLate = 0
  #itemMilliseconds = 0
  #itemsFinished = 0
  #grants = 0
  #crossZoneGrants = 0
  #crossZoneBytes = 0
  revocations = 0
  refusals = 0

  constructor (private readonly load: FleetLoad) {}

  /**
   * Records the end of an online request.
   *
   * @param arrivedAt time of the first attempt
   * @param firstEventAfter milliseconds from the first attempt to the first event, or null if none came
   * @param isBesideCut whether its instance was in touch with all targets while others were cut off
   */
  addOnline (kind: OnlineKind, result: OnlineResult, arrivedAt: number, firstEventAfter: number | null, isBesideCut: boolean): void {
    this.#online[result] += 1
    this.#requestsBesideCuts += isBesideCut ? 1 : 0
    this.#inTimeBesideCuts += isBesideCut && result === OnlineResult.InTime ? 1 : 0
    const earned = worthOf(kind, result)
    this.#add(this.#onlineWorth, arrivedAt, earned, kind.worth)
    if (firstEventAfter !== null) {
      this.#firstEvents.push(firstEventAfter)
    }
  }

  /** Records a grant; `bytes` are those that go between zones. */
  addGrant (isCrossZone: boolean, bytes: number): void {
    this.#grants += 1
    this.#crossZoneGrants += isCrossZone ? 1 : 0
    this.#crossZoneBytes += bytes
  }

  /** Records the end of a batch item, with the milliseconds since its arrival; `inTime` is null if it did not finish. */
  addItem (arrivedAt: number, inTime: boolean | null, took = 0): void {
    this.#itemMilliseconds += took
    this.#itemsFinished += inTime === null ? 0 : 1
    const { worth, lateWorth } = this.load.batch
    this.#items += 1
    this.#itemsInTime += inTime === true ? 1 : 0
    this.#itemsLate += inTime === false ? 1 : 0
    this.#add(this.#batchWorth, arrivedAt, inTime === null ? 0 : inTime ? worth : lateWorth, worth)
  }

  outcome (): FleetOutcome {
    const sorted = this.#firstEvents.sort((left, right) => left - right)
    const percentile = (share: number): number => sorted[Math.floor(share * (sorted.length - 1))] ?? 0
    return {
      online: this.#online,
      onlineRequests: Object.values(this.#online).reduce((sum, count) => sum + count, 0),
      requestsBesideCuts: this.#requestsBesideCuts,
      inTimeBesideCuts: this.#inTimeBesideCuts,
      items: this.#items,
      itemsInTime: this.#itemsInTime,
      itemsLate: this.#itemsLate,
      revocations: this.revocations,
      refusals: this.refusals,
      worth: shareOf({ earned: this.#onlineWorth.earned + this.#batchWorth.earned, possible: this.#onlineWorth.possible + this.#batchWorth.possible }),
      onlineWorth: shareOf(this.#onlineWorth),
      batchWorth: shareOf(this.#batchWorth),
      worstWindows: this.#worstWindows(),
      firstEventP50: percentile(0.5),
      firstEventP99: percentile(0.99),
      itemMean: this.#itemMilliseconds / Math.max(1, this.#itemsFinished),
      crossZoneBytes: this.#crossZoneBytes,
      crossZoneShare: this.#crossZoneGrants / Math.max(1, this.#grants)
    }
  }

  #add (sum: WorthSum, arrivedAt: number, earned: number, possible: number): void {
    const number = Math.floor(arrivedAt / windowMilliseconds)
    const window = this.#windows.get(number) ?? { earned: 0, possible: 0 }
    this.#windows.set(number, window)
    for (const target of [sum, window]) {
      target.earned += earned
      target.possible += possible
    }
  }

  #worstWindows (): number {
    const windows = [...this.#windows.values()]
    const mean = windows.reduce((sum, { possible }) => sum + possible, 0) / Math.max(1, windows.length)
    const shares = windows.filter(({ possible }) => possible >= mean * minimumWindowShare).map(shareOf).sort((left, right) => left - right)
    const worst = shares.slice(0, worstWindowCount)
    return worst.reduce((sum, share) => sum + share, 0) / Math.max(1, worst.length)
  }
}

function worthOf ({ worth, lateWorth }: OnlineKind, result: OnlineResult): number {
  switch (result) {
    case OnlineResult.InTime:
      return worth
    case OnlineResult.InTimeOnReturn:
      return (worth + lateWorth) / 2
    case OnlineResult.Late:
      return lateWorth
    default:
      return 0
  }
}

function shareOf ({ earned, possible }: WorthSum): number {
  return possible === 0 ? 1 : earned / possible
}
