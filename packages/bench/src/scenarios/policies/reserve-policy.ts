/** Baseline policy: half of the slots is reserved for online requests, the other half for batch requests. */
import { WorkClass } from '@arbutusloft/protocol'
import PQueue from 'p-queue'
import { acquirePermit } from './fifo-policy.js'
import { LeastLoadedSelector } from './least-loaded.js'
import type { Permit, PolicyOptions, DispatchPolicy } from './send-policy.js'

const reservedFraction = 0.5

/** Limits online and batch requests to a fixed share each of the slots of all engines. */
export class ReservePolicy implements DispatchPolicy {
  readonly name = 'static reserve'
  readonly #online: PQueue
  readonly #batch: PQueue
  readonly #selector: LeastLoadedSelector

  constructor (options: PolicyOptions) {
    const slots = options.engineCount * options.concurrency
    this.#online = new PQueue({ concurrency: slots * reservedFraction })
    this.#batch = new PQueue({ concurrency: slots * (1 - reservedFraction) })
    this.#selector = new LeastLoadedSelector(options.engineCount)
  }

  async acquire (workClass: WorkClass): Promise<Permit> {
    return await acquirePermit(workClass === WorkClass.Online ? this.#online : this.#batch, this.#selector)
  }

  close (): void {
    this.#online.clear()
    this.#batch.clear()
  }
}
