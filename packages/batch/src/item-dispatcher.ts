/** Dispatch of items: keeps items of all owned jobs in flight, up to a concurrency limit. */
import { BatchOrder } from '@arbutusloft/policy'
import PQueue from 'p-queue'
import type { JobExecution } from './job-execution.js'

/** Options of {@link ItemDispatcher}. */
export interface ItemDispatcherOptions {
  /** Maximum number of items in flight. */
  readonly concurrency: number
  /** Weight of a client's share of batch slots, relative to other clients. */
  readonly batchWeight: (client: string) => number
}

/** Cost of every item in the fair shares. The real cost is unknown until the line is parsed. */
const itemCost = { promptTokens: 1, completionTokens: 1 } as const

/**
 * Groups jobs by slack (see `BatchOrder`) and starts items of the most urgent group first. Within a group, clients get
 * weighted fair shares.
 */
export class ItemDispatcher {
  readonly #queue: PQueue
  readonly #order = new BatchOrder()
  readonly #exhausted = new WeakSet<JobExecution>()
  #executions: readonly JobExecution[] = []
  #dispatching = false
  #closed = false

  constructor (private readonly options: ItemDispatcherOptions) {
    this.#queue = new PQueue({ concurrency: options.concurrency })
  }

  /** Number of items in flight. */
  get inFlight (): number {
    return this.#queue.pending
  }

  /** Replaces the executions whose items are dispatched. */
  setExecutions (executions: readonly JobExecution[]): void {
    this.#executions = executions
    void this.#dispatch()
  }

  /** Starts no further items; those in flight continue. */
  close (): void {
    this.#closed = true
  }

  async #dispatch (): Promise<void> {
    if (this.#dispatching) {
      return
    }
    this.#dispatching = true
    while (!this.#closed && await this.#startNextItem()) {
      await this.#queue.onSizeLessThan(1)
      await this.#waitForFreeSlot()
    }
    this.#dispatching = false
  }

  /** Starts the next item. Returns false if no job has an item left. */
  async #startNextItem (): Promise<boolean> {
    const runnable = this.#executions.filter(execution => !execution.stopped && !this.#exhausted.has(execution))
    const requests = runnable.map(execution => ({
      client: execution.job.created.client,
      slack: execution.slack,
      cost: itemCost,
      weight: this.options.batchWeight(execution.job.created.client)
    }))
    const index = this.#order.next(requests)
    const execution = runnable[index]
    const request = requests[index]
    if (execution === undefined || request === undefined) {
      return false
    }
    const item = await execution.next()
    if (item === null) {
      this.#exhausted.add(execution)
      return true
    }
    this.#order.onGranted(request)
    void this.#queue.add(async () => { await execution.run(item) })
    return true
  }

  async #waitForFreeSlot (): Promise<void> {
    if (this.#queue.pending >= this.options.concurrency) {
      await new Promise<void>(resolve => { this.#queue.once('next', resolve) })
    }
  }
}
