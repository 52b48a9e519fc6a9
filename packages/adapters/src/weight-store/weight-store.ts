/** Interface of the platform's rate-limited store of model weights. */
import type { Result } from 'ts-results'

/** A model in the store, and the size of its weights. */
export interface StoredModel {
  readonly model: string
  readonly bytes: number
}

/** Contents and bandwidth of the weight store. */
export interface WeightCatalogue {
  /** Bandwidth that all readers share, in bytes a second. */
  readonly bytesPerSecond: number
  readonly models: readonly StoredModel[]
}

/** A failed read of the catalogue. */
export class WeightStoreError extends Error {
  override readonly name = 'WeightStoreError'
}

/** Client for the catalogue of the weight store; engines read the weights themselves. */
export interface WeightStore {
  /** Returns the models in the store. */
  catalogue: () => Promise<Result<WeightCatalogue, WeightStoreError>>
  close: () => Promise<void>
}
