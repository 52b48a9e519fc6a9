/** Stand-in for the platform's weight store, whose total read rate is limited. */
import type { StoredModel } from '@arbutusloft/adapters'
import { sendJson, serve } from '../util/serve.js'
import type { StandIn } from '../util/stand-in.js'

/** Options of {@link startWeightStoreStandIn}. */
export interface WeightStoreStandInOptions {
  readonly port?: number
  /** Read rate shared by all readers. */
  readonly bytesPerSecond?: number
  readonly models?: readonly StoredModel[]
}

const defaultBytesPerSecond = 1_000_000_000
const millisecondsPerSecond = 1_000

/** Starts a weight store; reads are served one after another at the store's rate. */
export async function startWeightStoreStandIn (options: WeightStoreStandInOptions = {}): Promise<StandIn> {
  const bytesPerSecond = options.bytesPerSecond ?? defaultBytesPerSecond
  const models = options.models ?? []
  let readsEndAt = 0
  return await serve(options.port ?? 0, application => {
    application.get('/catalogue', (_request, response) => { sendJson(response, { bytesPerSecond, models }) })
    application.get('/weights/:model', (request, response) => {
      const model = models.find(candidate => candidate.model === request.params['model'])
      if (model === undefined) {
        sendJson(response, { error: 'no such model' }, 404)
        return
      }
      const now = Date.now()
      readsEndAt = Math.max(now, readsEndAt) + model.bytes / bytesPerSecond * millisecondsPerSecond
      // Sends no weights: only the time at which a read completes matters to tests.
      setTimeout(() => { sendJson(response, model) }, readsEndAt - now)
    })
  })
}
