/** Execution of orders by the engine stand-in: loading models and adapters, setting its version and role. */
import { OrderKind } from '@arbutusloft/adapters'
import type { EngineOrder, EngineState } from '@arbutusloft/adapters'
import type { EngineOptions } from './engine-options.js'

/** Executes orders and rejects those with a stale fencing token if the engine checks fencing. */
export class OrderExecutor {
  #state: EngineState
  /** Executed orders, in order of execution. */
  readonly executed: EngineOrder[] = []

  constructor (private readonly options: EngineOptions) {
    this.#state = { model: options.model, version: '1', role: 'serve', adapters: [], fencing: 0 }
  }

  get state (): EngineState {
    return this.#state
  }

  /** Executes an order; returns false without executing it if its fencing token is stale. */
  async execute (order: EngineOrder): Promise<boolean> {
    if (this.options.checksFencing && order.fencing < this.#state.fencing) {
      return false
    }
    this.#state = { ...this.#state, fencing: Math.max(order.fencing, this.#state.fencing) }
    if (order.kind === OrderKind.LoadModel && this.options.weightStore !== null) {
      await fetch(`http://${this.options.weightStore}/weights/${order.value}`)
    }
    this.#apply(order)
    this.executed.push(order)
    return true
  }

  #apply (order: EngineOrder): void {
    switch (order.kind) {
      case OrderKind.LoadModel:
        this.#state = { ...this.#state, model: order.value }
        break
      case OrderKind.LoadAdapter:
        this.#state = { ...this.#state, adapters: [...this.#state.adapters, order.value] }
        break
      case OrderKind.SetVersion:
        this.#state = { ...this.#state, version: order.value }
        break
      case OrderKind.SetRole:
        this.#state = { ...this.#state, role: order.value }
        break
    }
  }
}
