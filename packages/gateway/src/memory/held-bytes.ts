/** Counts what requests and responses hold in this process, and tells those that wait for room when there is some. */
import { HeldKind, RoomDecision } from '@arbutusloft/policy'
import type { ByteBudget, Holding } from '@arbutusloft/policy'
import type { GatewayMetrics } from '../metrics.js'
import type { Logger } from '../util/logger.js'

/** Bodies that may wait for room at once: each has up to one read of its connection that is not counted. */
const maximumWaiting = 32
/** Time without a refusal after which the budget counts as sufficient again, and least time between two log lines. */
const quietMilliseconds = 1_000

/** What one request or response holds. */
export interface HeldPart {
  readonly bytes: number
  /** Asks for more bytes; see {@link ByteBudget.grow}. */
  grow: (bytes: number) => typeof RoomDecision.Granted | typeof RoomDecision.Wait | typeof RoomDecision.Refused
  /** Sets the bytes that are held already, whether there is room for them or not. */
  set: (bytes: number) => void
  change: (kind: HeldKind) => void
  /** Calls the listener once, when there may be room. */
  onceRoom: (listener: () => void) => void
  close: () => void
}

/** Holds the budget of a process. */
export class HeldBytes {
  readonly #parts = new Map<Holding, Part>()
  readonly #waiting = new Map<Part, () => void>()
  #wakeTimer: NodeJS.Immediate | null = null
  #quietTimer: NodeJS.Timeout | null = null
  #refusals = 0
  #lastRefusalAt = 0

  constructor (readonly budget: ByteBudget, private readonly metrics: Pick<GatewayMetrics, 'memoryRefusals' | 'onCollectHeldBytes'>, private readonly logger: Logger) {
    metrics.onCollectHeldBytes(() => Object.values(HeldKind).map(kind => [kind, budget.heldBy(kind)] as const))
  }

  /**
   * Begins to count.
   *
   * @param onEvicted called if an unfinished body has to make room for others; its owner closes the part
   */
  open (kind: HeldKind, onEvicted: () => void = () => {}): HeldPart {
    const holding = this.budget.open(kind, Date.now())
    const part = new Part(this, holding, onEvicted)
    this.#parts.set(holding, part)
    return part
  }

  grow (part: Part, bytes: number): ReturnType<HeldPart['grow']> {
    for (;;) {
      const answer = this.budget.grow(part.holding, bytes, Date.now())
      switch (answer.decision) {
        case RoomDecision.Granted:
          return answer.decision
        case RoomDecision.Evict: {
          const victim = this.#parts.get(answer.victim)
          victim?.onEvicted()
          // A victim that stays would be chosen again.
          victim?.close()
          break
        }
        case RoomDecision.Wait:
          if (this.#waiting.size < maximumWaiting) {
            return RoomDecision.Wait
          }
          return RoomDecision.Refused
        case RoomDecision.Refused:
          return RoomDecision.Refused
      }
    }
  }

  /** Counts a request or response that was refused for lack of room. */
  recordRefusal (kind: HeldKind): void {
    this.metrics.memoryRefusals.inc({ kind })
    this.#refusals += 1
    this.#lastRefusalAt = Date.now()
    if (this.#quietTimer === null) {
      this.logger.warn('memory for requests and responses is used up', this.#usage())
      this.#checkQuiet()
    }
  }

  wait (part: Part, listener: () => void): void {
    this.#waiting.set(part, listener)
  }

  close (part: Part): void {
    this.#parts.delete(part.holding)
    this.#waiting.delete(part)
    this.onRoom()
  }

  /** Lets those that wait ask again, in the order of their arrival. */
  onRoom (): void {
    if (this.#waiting.size === 0 || this.#wakeTimer !== null) {
      return
    }
    this.#wakeTimer = setImmediate(() => {
      this.#wakeTimer = null
      const listeners = [...this.#waiting.values()]
      this.#waiting.clear()
      listeners.forEach(listener => { listener() })
    })
  }

  #checkQuiet (): void {
    this.#quietTimer = setTimeout(() => {
      this.#quietTimer = null
      if (Date.now() - this.#lastRefusalAt < quietMilliseconds) {
        this.#checkQuiet()
        return
      }
      this.logger.info('memory for requests and responses has room again', { ...this.#usage(), refused: this.#refusals })
      this.#refusals = 0
    }, quietMilliseconds).unref()
  }

  #usage (): Readonly<Record<string, number>> {
    const kinds = Object.values(HeldKind).map(kind => [kind, this.budget.heldBy(kind)] as const)
    return { total: this.budget.total, held: this.budget.held, ...Object.fromEntries(kinds) }
  }
}

class Part implements HeldPart {
  #isClosed = false

  constructor (private readonly held: HeldBytes, readonly holding: Holding, readonly onEvicted: () => void) {}

  get bytes (): number {
    return this.holding.bytes
  }

  grow (bytes: number): ReturnType<HeldPart['grow']> {
    return this.#isClosed ? RoomDecision.Refused : this.held.grow(this, bytes)
  }

  set (bytes: number): void {
    if (this.#isClosed) {
      return
    }
    const hasRoom = bytes < this.bytes
    this.held.budget.set(this.holding, bytes)
    if (hasRoom) {
      this.held.onRoom()
    }
  }

  change (kind: HeldKind): void {
    if (!this.#isClosed) {
      this.held.budget.change(this.holding, kind)
    }
  }

  onceRoom (listener: () => void): void {
    this.held.wait(this, listener)
  }

  close (): void {
    if (!this.#isClosed) {
      this.#isClosed = true
      this.held.budget.close(this.holding)
      this.held.close(this)
    }
  }
}
