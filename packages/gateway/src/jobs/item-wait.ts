/** What an item that waits for a slot tells operators: log lines, and its place in the metric of waiting items. */
import type { SlotWait, WaitCause } from '@arbutusloft/policy'
import type { GatewayMetrics } from '../metrics.js'
import type { Logger } from '../util/logger.js'

/** Time after which a wait with an unchanged cause is logged again. */
const repeatMilliseconds = 10_000

/** The wait of one item, from its first request for a slot to the slot. */
export class ItemWait {
  /** Start of the wait in milliseconds since the epoch, or null while the item does not wait. */
  #since: number | null = null
  /** Cause that was told last, or null before the first. */
  #cause: WaitCause | null = null
  #loggedAt = 0

  /**
   * @param fields fields of each line that name the item
   * @param metrics left out if waiting items are not counted
   */
  constructor (private readonly logger: Logger, private readonly fields: Readonly<Record<string, string>>, private readonly metrics?: Pick<GatewayMetrics, 'waitingItems'>) {}

  /** The item requests a slot; does nothing if it waits already. */
  begin (now: number): void {
    this.#since ??= now
  }

  /** The item has no slot of the service yet, and why. */
  onCause (service: string, { cause, until }: SlotWait, now: number): void {
    this.begin(now)
    const isChanged = cause !== this.#cause
    if (isChanged) {
      this.#count(cause)
    }
    if (isChanged || now - this.#loggedAt >= repeatMilliseconds) {
      this.#loggedAt = now
      this.logger.info('item waits', { ...this.fields, service, cause, until: Math.ceil(until), waited: now - (this.#since ?? now) })
    }
  }

  /** The item has a slot, or needs none any more. */
  end (): void {
    this.#since = null
    this.#count(null)
  }

  #count (cause: WaitCause | null): void {
    if (this.#cause !== null) {
      this.metrics?.waitingItems.dec({ cause: this.#cause })
    }
    if (cause !== null) {
      this.metrics?.waitingItems.inc({ cause })
    }
    this.#cause = cause
  }
}
