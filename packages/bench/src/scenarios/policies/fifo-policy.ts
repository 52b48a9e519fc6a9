/** Baseline policy: one queue for online and batch requests, in order of arrival. */
import type { WorkClass } from '@arbutusloft/protocol'
import PQueue from 'p-queue'
import { LeastLoadedSelector } from './least-loaded.js'
import { neverRevoked } from './send-policy.js'
import type { Permit, PolicyOptions, SendPolicy } from './send-policy.js'

/** Grants permits in order of arrival, at most as many as the engines run at once. */
export class FifoPolicy implements SendPolicy {
  readonly name = 'shared FIFO'
  readonly #queue: PQueue
  readonly #engines: LeastLoadedSelector

  constructor (options: PolicyOptions) {
    this.#queue = new PQueue({ concurrency: options.engines * options.concurrency })
    this.#engines = new LeastLoadedSelector(options.engines)
  }

  async acquire (_workClass: WorkClass): Promise<Permit> {
    return await acquireSlot(this.#queue, this.#engines)
  }

  close (): void {
    this.#queue.clear()
  }
}

/** Waits for a slot of the queue and returns a permit that occupies the slot until it is released. */
export async function acquireSlot (queue: PQueue, engines: LeastLoadedSelector): Promise<Permit> {
  return await new Promise(resolve => {
    void queue.add(async () => { await holdPermit(engines, resolve) })
  })
}

/** Grants a permit and resolves when it is released. */
async function holdPermit (engines: LeastLoadedSelector, onGranted: (permit: Permit) => void): Promise<void> {
  const engine = engines.acquire()
  await new Promise<void>(resolve => {
    onGranted({
      engine,
      revoked: neverRevoked(),
      release: () => {
        engines.release(engine)
        resolve()
      }
    })
  })
}
