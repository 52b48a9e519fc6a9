/** Baseline policy: half of the slots is reserved for online requests, the other half for batch requests. */
import { WorkClass } from '@arbutusloft/protocol'
import PQueue from 'p-queue'
import { acquireSlot } from './fifo-policy.js'
import { LeastLoadedSelector } from './least-loaded.js'
import type { Permit, PolicyOptions, SendPolicy } from './send-policy.js'

const reservedFraction = 0.5

/** Limits online and batch requests to a fixed share each of the slots of all engines. */
export class ReservePolicy implements SendPolicy {
  readonly name = 'static reserve'
  readonly #online: PQueue
  readonly #batch: PQueue
  readonly #engines: LeastLoadedSelector

  constructor (options: PolicyOptions) {
    const slots = options.engines * options.concurrency
    this.#online = new PQueue({ concurrency: slots * reservedFraction })
    this.#batch = new PQueue({ concurrency: slots * (1 - reservedFraction) })
    this.#engines = new LeastLoadedSelector(options.engines)
  }

  async acquire (workClass: WorkClass): Promise<Permit> {
    return await acquireSlot(workClass === WorkClass.Online ? this.#online : this.#batch, this.#engines)
  }

  close (): void {
    this.#online.clear()
    this.#batch.clear()
  }
}
