/** The platform's rate-limited store of model weights. */
import type { Result } from 'ts-results'

/** One model in the store. */
export interface StoredModel {
  readonly model: string
  readonly bytes: number
}

/** What the store holds and how fast it gives it out. */
export interface WeightCatalogue {
  /** Bytes a second for all readers together. */
  readonly bytesPerSecond: number
  readonly models: readonly StoredModel[]
}

/** A failed look at the store. */
export class WeightStoreError extends Error {
  override readonly name = 'WeightStoreError'
}

/** The store's catalogue; the engines read the weights themselves. */
export interface WeightStore {
  catalogue: () => Promise<Result<WeightCatalogue, WeightStoreError>>
  close: () => Promise<void>
}
