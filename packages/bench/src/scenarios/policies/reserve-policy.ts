/** Baseline policy: half of the slots is reserved for online requests, the other half for batch requests. */
import { WorkClass } from '@arbutusloft/protocol'
import PQueue from 'p-queue'
import { acquireFrom } from './fifo-policy.js'
import { LeastLoaded } from './least-loaded.js'
import type { Lease, PolicyOptions, SendPolicy } from './send-policy.js'

const reservedPart = 0.5

/** Limits online and batch requests to a fixed share each of the slots of all engines. */
export class ReservePolicy implements SendPolicy {
  readonly name = 'static reserve'
  readonly #online: PQueue
  readonly #batch: PQueue
  readonly #engines: LeastLoaded

  constructor (options: PolicyOptions) {
    const slots = options.engines * options.concurrency
    this.#online = new PQueue({ concurrency: slots * reservedPart })
    this.#batch = new PQueue({ concurrency: slots * (1 - reservedPart) })
    this.#engines = new LeastLoaded(options.engines)
  }

  async acquire (workClass: WorkClass): Promise<Lease> {
    return await acquireFrom(workClass === WorkClass.Online ? this.#online : this.#batch, this.#engines)
  }

  close (): void {
    this.#online.clear()
    this.#batch.clear()
  }
}
