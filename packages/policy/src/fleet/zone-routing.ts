/**
 * Which share of the requests of each availability zone goes to targets of other zones. Load: zones whose own targets are too few, or none, while others
 * have spare ones, and traffic between zones that takes 0.5 to 1.4 ms one way and costs money.
 */
import { hash32 } from '../util/hash.js'

/** Options of {@link ZoneRouting}. */
export interface ZoneRoutingOptions {
  /** Price of a gigabyte between zones, relative to that of an hour for which a request waits; 0 if traffic between zones costs nothing. */
  readonly crossZonePrice: number
  /** Greatest share of a zone's requests that leave it although it has free slots, from 0 to 1. */
  readonly greatestCrossZoneShare: number
}

/** Settings under which zones are weighed by {@link sameZoneWeight} alone. */
export const defaultZoneRoutingOptions: ZoneRoutingOptions = { crossZonePrice: 0, greatestCrossZoneShare: 1 }

/** Targets and work of a zone. */
export interface ZoneLoad {
  /** Slots of its targets. */
  readonly slots: number
  /** Slots, of any zone, that requests of its instances hold. */
  readonly demand: number
}

/** Why a request was granted a slot in this zone. */
export const ZoneCause = {
  Own: 'own',
  /** Its own zone has no targets. */
  Empty: 'empty',
  /** Its own zone had no free slot. */
  Full: 'full',
  /** It belonged to the share that leaves its zone. */
  Share: 'share',
  /** A target of another zone was less busy, faster, or probably has its prompt cached. */
  Better: 'better'
} as const
export type ZoneCause = typeof ZoneCause[keyof typeof ZoneCause]

interface ZoneState {
  /** Average of the demand. */
  demand: number
  share: number
}

/** Number of busy slots that the holder's availability zone outweighs in a target's score while there is no price. */
const sameZoneWeight = 1
/** The same for a request that stays in its zone, or leaves it: more than targets have slots. */
const decidedWeight = 1_000
/** Time between two zones, both ways: the mean of the measured 0.5 to 1.4 ms, twice. */
const crossZoneMilliseconds = 1.9
/** Bytes of an online request with its answer: 250 tokens of prompt and 20 events. Items send more, but hold their slots for longer still. */
const bytesOfRequest = 6_000
const bytesPerGigabyte = 1e9
const millisecondsPerHour = 3_600_000
/** Greatest change of a share in a second. */
const changePerSecond = 0.1
/** Time over which the demand is averaged. */
const averagingMilliseconds = 2_000
/** Least time between two updates. */
const updateMilliseconds = 50
/** Longest time for which an update counts, so that a process that stood still does not change shares at once. */
const maximumStepMilliseconds = 1_000
/** Greatest part of a zone's slots that is filled before requests leave it. */
const greatestFill = 0.95
/** Halvings in the search of the fill, which is then known to a thousandth. */
const fillSteps = 10
const millisecondsPerSecond = 1_000

/** Follows the load of the zones of one service, and decides for each request whether it leaves its zone. */
export class ZoneRouting {
  readonly #zones = new Map<string, ZoneState>()
  #updatedAt: number | null = null

  constructor (private readonly options: ZoneRoutingOptions) {}

  /** Whether shares decide; otherwise {@link weightOf} is constant. */
  get isActive (): boolean {
    return this.options.crossZonePrice > 0 || this.options.greatestCrossZoneShare < 1
  }

  /** Whether {@link update} has something to do. */
  isDue (now: number): boolean {
    return this.isActive && (this.#updatedAt === null || Math.abs(now - this.#updatedAt) >= updateMilliseconds)
  }

  /**
   * Takes note of the load of all zones, those without targets included.
   *
   * @param holdMilliseconds mean time for which a request holds its slot
   */
  update (loads: ReadonlyMap<string, ZoneLoad>, holdMilliseconds: number, now: number): void {
    const elapsed = Math.min(maximumStepMilliseconds, Math.max(0, now - (this.#updatedAt ?? now)))
    const newest = 1 - Math.exp(-elapsed / averagingMilliseconds)
    this.#updatedAt = now
    for (const [zone, { demand }] of loads) {
      const state = this.#zones.get(zone) ?? { demand, share: 0 }
      this.#zones.set(zone, state)
      state.demand += newest * (demand - state.demand)
    }
    const greatestStep = changePerSecond * elapsed / millisecondsPerSecond
    for (const [zone, state] of this.#zones) {
      const wanted = loads.has(zone) ? this.#wantedShare(zone, loads, holdMilliseconds) : 0
      state.share += Math.max(-greatestStep, Math.min(greatestStep, wanted - state.share))
    }
  }

  /** Returns the share of a zone's requests that leave it. */
  shareOf (zone: string): number {
    return this.#zones.get(zone)?.share ?? 0
  }

  /** Whether a request belongs to the share that leaves its zone; the same each time it is asked while the share rises. */
  leaves (zone: string, permit: string): boolean {
    return hash32(permit) / 2 ** 32 < this.shareOf(zone)
  }

  /**
   * Returns the number of busy slots that a target's zone outweighs in its score for a request.
   *
   * @param isSound whether nothing speaks against the target; the price of traffic between zones is no reason to use one that fails
   */
  weightOf (targetZone: string, { zone, permit }: { readonly zone: string, readonly permit: string }, isSound: boolean): number {
    if (!this.isActive || !isSound) {
      return targetZone === zone ? sameZoneWeight : 0
    }
    return (targetZone === zone) !== this.leaves(zone, permit) ? decidedWeight : 0
  }

  /**
   * The demand of a zone does not depend on where its requests go, so that its share does not follow from itself. What the zone cannot take below its
   * greatest fill leaves it, as far as the other zones have room below theirs.
   */
  #wantedShare (zone: string, loads: ReadonlyMap<string, ZoneLoad>, holdMilliseconds: number): number {
    const slots = sumOf(loads.values(), load => load.slots)
    const overall = slots === 0 ? 0 : sumOf(this.#zones.values(), state => state.demand) / slots
    const excessOf = (name: string): number => {
      const own = loads.get(name)?.slots ?? 0
      return (this.#zones.get(name)?.demand ?? 0) - own * this.#fillOf(own, overall, holdMilliseconds)
    }
    const excess = excessOf(zone)
    const { demand } = this.#zones.get(zone) ?? { demand: 0 }
    if (excess <= 0 || demand <= 0) {
      return 0
    }
    const excesses = [...loads.keys()].map(excessOf)
    const spare = sumOf(excesses, value => Math.max(0, -value))
    const wanting = sumOf(excesses, value => Math.max(0, value))
    return Math.min(this.options.greatestCrossZoneShare, excess / demand * Math.min(1, spare / wanting))
  }

  /**
   * Returns the part of a zone's slots up to which its requests stay: at that load, the mean wait for a slot is as long as what a request to another zone
   * costs in time and money. It is not less than the part that is busy over all zones, so that nothing leaves equally loaded zones.
   */
  #fillOf (slots: number, overall: number, holdMilliseconds: number): number {
    const cost = crossZoneMilliseconds + this.options.crossZonePrice * bytesOfRequest / bytesPerGigabyte * millisecondsPerHour
    let [low, high] = [0, greatestFill]
    for (let step = 0; step < fillSteps; step += 1) {
      const middle = (low + high) / 2
      if (meanWait(slots, middle, holdMilliseconds) > cost) {
        high = middle
      } else {
        low = middle
      }
    }
    // Beyond all slots, a full zone has no room.
    return Math.max(low, Math.min(1, overall))
  }
}

/**
 * Returns the mean milliseconds for which requests wait for one of several slots that are busy for a part of the time, by Sakasegawa's approximation
 * for queues with several servers (https://doi.org/10.1007/BF02480276).
 */
function meanWait (slots: number, busy: number, holdMilliseconds: number): number {
  return slots === 0 ? Infinity : holdMilliseconds * busy ** (Math.sqrt(2 * (slots + 1)) - 1) / (slots * (1 - busy))
}

function sumOf<Value> (values: Iterable<Value>, valueOf: (value: Value) => number): number {
  let sum = 0
  for (const value of values) {
    sum += valueOf(value)
  }
  return sum
}
