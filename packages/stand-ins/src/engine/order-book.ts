/** Orders to the engine stand-in. */
import { OrderKind } from '@arbutusloft/adapters'
import type { EngineOrder, EngineState } from '@arbutusloft/adapters'
import type { EngineOptions } from './engine-options.js'

/** Takes orders, refusing old fencing numbers if the engine checks them. */
export class OrderBook {
  #state: EngineState
  /** Orders that were carried out, in order. */
  readonly carriedOut: EngineOrder[] = []

  constructor (private readonly options: EngineOptions) {
    this.#state = { model: options.model, version: '1', role: 'serve', adapters: [], fencing: 0 }
  }

  get state (): EngineState {
    return this.#state
  }

  /** Carries an order out; returns false if its fencing number is old. */
  async take (order: EngineOrder): Promise<boolean> {
    if (this.options.checksFencing && order.fencing < this.#state.fencing) {
      return false
    }
    this.#state = { ...this.#state, fencing: Math.max(order.fencing, this.#state.fencing) }
    if (order.kind === OrderKind.LoadModel && this.options.weightStore !== null) {
      await fetch(`http://${this.options.weightStore}/weights/${order.value}`)
    }
    this.#apply(order)
    this.carriedOut.push(order)
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
