/**
 * Decides which requests and responses a process may hold in memory. The load: 200 connections that each send a body of 4,194,304 bytes and stop short
 * of its last byte, or send it in chunks of one byte; and callers that do not read responses. Without a bound over all connections, such a load
 * takes a process of 75 MB to 875 MB, and instances have 178 to 602 MB.
 */

/** What holds bytes. */
export const HeldKind = {
  /** A body that has not arrived completely. */
  Unfinished: 'unfinished',
  /** A complete body of an online request that waits for a target or runs. */
  Request: 'request',
  /** A job that is decoded and stored. */
  Job: 'job',
  /** A response that its caller has not read. */
  Response: 'response',
  /** Bytes that are passed on for a peer. */
  Relay: 'relay'
} as const
export type HeldKind = typeof HeldKind[keyof typeof HeldKind]

/** Answer to a request for room. */
export const RoomDecision = {
  Granted: 'granted',
  /** Holders that do not depend on their senders will make room. */
  Wait: 'wait',
  Refused: 'refused',
  /** There is room once another holding is closed. */
  Evict: 'evict'
} as const
export type RoomDecision = typeof RoomDecision[keyof typeof RoomDecision]

/** Bytes that one request or response holds. */
export interface Holding {
  readonly kind: HeldKind
  readonly bytes: number
  /** Time of the last byte that arrived, in milliseconds since the epoch. */
  readonly lastGrowthAt: number
}

/** Result of {@link ByteBudget.grow}. */
export type RoomAnswer =
  | { readonly decision: Exclude<RoomDecision, typeof RoomDecision.Evict> }
  | { readonly decision: typeof RoomDecision.Evict, readonly victim: Holding }

/** Requests up to this length have a part of the budget for themselves, in bytes. */
export const smallBytes = 65_536
/** Share of the budget that only requests up to {@link smallBytes} may use. */
const smallShare = 0.25
/** Time without a byte after which an unfinished body is dropped when others need its room: half of the time that a body may take. */
export const silentMilliseconds = 5_000
/** Share of the budget that bodies which run, and responses, have to hold for a wait to help. */
const helpfulShare = 0.25

/** Memory that a process takes without requests and responses: 75 MB at rest, and garbage that is not collected yet. */
const otherBytes = 100_000_000
/** Share of the rest that requests and responses may hold: reading and decoding them takes as much again until it is collected. */
const memoryShare = 0.31
/** A body of the limit has to fit beside the reserve for small requests, also while its job is decoded. */
const minimumBudgetBytes = 24_000_000
/** Keeps the peak of a process below 220 MB: a process has 75 MB at rest and grows by garbage that is not collected yet. */
const maximumBudgetBytes = 64_000_000

/** Returns the bytes that requests and responses of a process with this much memory may hold. */
export function budgetOf (memoryBytes: number): number {
  return Math.min(maximumBudgetBytes, Math.max(minimumBudgetBytes, Math.floor((memoryBytes - otherBytes) * memoryShare)))
}

const granted: RoomAnswer = { decision: RoomDecision.Granted }
const wait: RoomAnswer = { decision: RoomDecision.Wait }
const refused: RoomAnswer = { decision: RoomDecision.Refused }

class MutableHolding implements Holding {
  bytes = 0

  constructor (public kind: HeldKind, public lastGrowthAt: number) {}
}

/** Counts the bytes that requests and responses hold, and decides who gets room. */
export class ByteBudget {
  readonly #unfinished = new Set<MutableHolding>()
  readonly #bytesByKind = new Map<HeldKind, number>()
  #held = 0
  /** Bytes of holdings that have more than {@link smallBytes}. */
  #large = 0

  /** @param total bytes */
  constructor (readonly total: number) {}

  /** Bytes that are held. */
  get held (): number {
    return this.#held
  }

  /** Bytes that holdings of a kind have. */
  heldBy (kind: HeldKind): number {
    return this.#bytesByKind.get(kind) ?? 0
  }

  /** Begins a holding without bytes; its owner closes it. */
  open (kind: HeldKind, now: number): Holding {
    const holding = new MutableHolding(kind, now)
    if (kind === HeldKind.Unfinished) {
      this.#unfinished.add(holding)
    }
    return holding
  }

  /** Asks for more bytes, which the holding has if the answer is that they are granted. */
  grow (holding: Holding, bytes: number, now: number): RoomAnswer {
    const mutable = holding as MutableHolding
    const isSmall = holding.bytes + bytes <= smallBytes
    if (this.#fits(mutable, bytes)) {
      mutable.lastGrowthAt = now
      this.#set(mutable, holding.bytes + bytes)
      return granted
    }
    const largest = this.#largestOther(mutable, () => true)
    const largestSilent = this.#largestOther(mutable, ({ lastGrowthAt }) => now - lastGrowthAt >= silentMilliseconds)
    if (largestSilent !== null) {
      return { decision: RoomDecision.Evict, victim: largestSilent }
    }
    if (!isSmall && this.#held - this.heldBy(HeldKind.Unfinished) >= this.total * helpfulShare && holding.bytes + bytes <= this.#largeTotal) {
      return wait
    }
    if (largest !== null && largest.bytes > holding.bytes + (isSmall ? bytes : 0)) {
      return { decision: RoomDecision.Evict, victim: largest }
    }
    return refused
  }

  /** Adds bytes that are held already, whether there is room for them or not. */
  charge (holding: Holding, bytes: number): void {
    this.#set(holding as MutableHolding, holding.bytes + bytes)
  }

  /** Sets the bytes of a holding that has become smaller, or of bytes that are held already. */
  set (holding: Holding, bytes: number): void {
    this.#set(holding as MutableHolding, bytes)
  }

  /** Changes what a holding is: a body that is complete no longer counts as unfinished. */
  change (holding: Holding, kind: HeldKind): void {
    const mutable = holding as MutableHolding
    const { bytes } = holding
    this.#set(mutable, 0)
    mutable.kind = kind
    this.#set(mutable, bytes)
    this.#unfinished.delete(mutable)
  }

  /** Ends a holding. */
  close (holding: Holding): void {
    this.#set(holding as MutableHolding, 0)
    this.#unfinished.delete(holding as MutableHolding)
  }

  get #largeTotal (): number {
    return this.total * (1 - smallShare)
  }

  #fits (holding: MutableHolding, bytes: number): boolean {
    const next = holding.bytes + bytes
    if (this.#held + bytes > this.total) {
      return false
    }
    const addsToLarge = holding.bytes > smallBytes ? bytes : next
    return next <= smallBytes || this.#large + addsToLarge <= this.#largeTotal
  }

  /** Returns the largest unfinished body but one; linear, and called only when there is no room. */
  #largestOther (except: MutableHolding, accepts: (holding: Holding) => boolean): Holding | null {
    let largest: MutableHolding | null = null
    for (const holding of this.#unfinished) {
      if (holding !== except && holding.bytes > 0 && accepts(holding) && holding.bytes > (largest?.bytes ?? 0)) {
        largest = holding
      }
    }
    return largest
  }

  #set (holding: MutableHolding, bytes: number): void {
    const difference = bytes - holding.bytes
    this.#held += difference
    this.#large += (bytes > smallBytes ? bytes : 0) - (holding.bytes > smallBytes ? holding.bytes : 0)
    this.#bytesByKind.set(holding.kind, this.heldBy(holding.kind) + difference)
    holding.bytes = bytes
  }
}
