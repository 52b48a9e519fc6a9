/** Baseline policy: one queue for online and batch requests, in order of arrival. */
import type { WorkClass } from '@arbutusloft/protocol'
import PQueue from 'p-queue'
import { LeastLoadedSelector } from './least-loaded.js'
import { neverRevoked } from './send-policy.js'
import type { Permit, PolicyOptions, DispatchPolicy } from './send-policy.js'

/** Grants permits in order of arrival, at most as many as the engines run at once. */
export class FifoPolicy implements DispatchPolicy {
  readonly name = 'shared FIFO'
  readonly #queue: PQueue
  readonly #selector: LeastLoadedSelector

  constructor (options: PolicyOptions) {
    this.#queue = new PQueue({ concurrency: options.engineCount * options.concurrency })
    this.#selector = new LeastLoadedSelector(options.engineCount)
  }

  async acquire (_workClass: WorkClass): Promise<Permit> {
    return await acquirePermit(this.#queue, this.#selector)
  }

  close (): void {
    this.#queue.clear()
  }
}

/** Waits for a slot of the queue and returns a permit that occupies the slot until it is released. */
export async function acquirePermit (queue: PQueue, selector: LeastLoadedSelector): Promise<Permit> {
  return await new Promise(resolve => {
    void queue.add(async () => { await holdPermit(selector, resolve) })
  })
}

/** Grants a permit and resolves when it is released. */
async function holdPermit (selector: LeastLoadedSelector, onGranted: (permit: Permit) => void): Promise<void> {
  const engine = selector.acquire()
  await new Promise<void>(resolve => {
    onGranted({
      engine,
      revoked: neverRevoked(),
      release: () => {
        selector.release(engine)
        resolve()
      }
    })
  })
}
