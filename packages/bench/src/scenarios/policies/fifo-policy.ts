/** Baseline policy: one queue for online and batch requests, in order of arrival. */
import type { WorkClass } from '@arbutusloft/protocol'
import PQueue from 'p-queue'
import { LeastLoaded } from './least-loaded.js'
import { neverRevoked } from './send-policy.js'
import type { Lease, PolicyOptions, SendPolicy } from './send-policy.js'

/** Grants permits in order of arrival, at most as many as the engines run at once. */
export class FifoPolicy implements SendPolicy {
  readonly name = 'shared FIFO'
  readonly #queue: PQueue
  readonly #engines: LeastLoaded

  constructor (options: PolicyOptions) {
    this.#queue = new PQueue({ concurrency: options.engines * options.concurrency })
    this.#engines = new LeastLoaded(options.engines)
  }

  async acquire (_workClass: WorkClass): Promise<Lease> {
    return await acquireFrom(this.#queue, this.#engines)
  }

  close (): void {
    this.#queue.clear()
  }
}

/** Waits for a slot of the queue and returns a permit that occupies the slot until it is released. */
export async function acquireFrom (queue: PQueue, engines: LeastLoaded): Promise<Lease> {
  return await new Promise(resolve => {
    void queue.add(async () => { await hold(engines, resolve) })
  })
}

/** Grants a permit and resolves when it is released. */
async function hold (engines: LeastLoaded, giveOut: (lease: Lease) => void): Promise<void> {
  const engine = engines.take()
  await new Promise<void>(resolve => {
    giveOut({
      engine,
      revoked: neverRevoked(),
      release: () => {
        engines.give(engine)
        resolve()
      }
    })
  })
}
