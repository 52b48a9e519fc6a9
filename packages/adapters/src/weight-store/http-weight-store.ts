/** HTTP client for the weight store. */
import { Agent } from 'undici'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { z } from 'zod'
import { fetchJson } from '../util/fetch-json.js'
import { WeightStoreError } from './weight-store.js'
import type { WeightCatalogue, WeightStore } from './weight-store.js'

const { Ok, Err } = tsResults

/** Options of {@link createHttpWeightStore}. */
export interface HttpWeightStoreOptions {
  /** Address of the weight store as `ip:port`. */
  readonly address: string
  readonly timeoutMilliseconds?: number
}

const defaultTimeoutMilliseconds = 2_000

const catalogueSchema = z.object({
  bytesPerSecond: z.number().positive(),
  models: z.array(z.object({ model: z.string(), bytes: z.number().nonnegative() }))
})

/** Creates a client for the weight store. */
export function createHttpWeightStore (options: HttpWeightStoreOptions): WeightStore {
  return new HttpWeightStore(options.address, options.timeoutMilliseconds ?? defaultTimeoutMilliseconds)
}

class HttpWeightStore implements WeightStore {
  readonly #agent = new Agent()

  constructor (private readonly address: string, private readonly timeoutMilliseconds: number) {}

  async catalogue (): Promise<Result<WeightCatalogue, WeightStoreError>> {
    const url = `http://${this.address}/catalogue`
    try {
      return Ok(catalogueSchema.parse(await fetchJson(url, this.#agent, this.timeoutMilliseconds)))
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error)
      return Err(new WeightStoreError(message, { cause: error }))
    }
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }
}
