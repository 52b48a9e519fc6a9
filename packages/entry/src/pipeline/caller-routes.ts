/** Table of the callers' routes. */
import { GenerationPath } from '@arbutusloft/adapters'
import { StreamName } from '@arbutusloft/protocol'
import type { BatchesHandler } from '../batches/batches-handler.js'
import type { FilesHandler } from '../files/files-handler.js'
import { listAddresses } from '../online/addresses.js'
import type { AddressesOptions } from '../online/addresses.js'
import { getModel, listModels } from '../online/models.js'
import type { OnlineGeneration } from '../online/online-generation.js'
import type { ServicesHandler } from '../services/services-handler.js'
import type { ClientHandler } from './exchange.js'

/** Handlers of the callers' routes. */
export interface CallerHandlers {
  readonly generation: OnlineGeneration
  readonly files: FilesHandler
  readonly batches: BatchesHandler
  readonly services: ServicesHandler
  readonly addresses: AddressesOptions
}

/** A route of the callers' API. */
export interface CallerRoute {
  readonly method: 'get' | 'post' | 'delete' | 'all'
  readonly pattern: string
  readonly handle: ClientHandler
  /** Stream that the entry must have caught up with before it serves the route, besides the configuration. */
  readonly requiredStream?: StreamName
}

/** Returns all routes of the callers' API. */
export function callerRoutes (handlers: CallerHandlers): readonly CallerRoute[] {
  const { generation, files, batches, services, addresses } = handlers
  const generate = (path: GenerationPath): CallerRoute => ({
    method: 'post',
    pattern: path,
    handle: async exchange => { await generation.handle(path, exchange) }
  })
  const jobsRoute = { requiredStream: StreamName.Jobs } as const
  return [
    generate(GenerationPath.Chat),
    generate(GenerationPath.Completion),
    { method: 'get', pattern: '/v1/models', handle: listModels },
    { method: 'get', pattern: '/v1/models/:model', handle: getModel },
    { method: 'get', pattern: '/v1/addresses', handle: async exchange => { await listAddresses(exchange, addresses) } },
    { ...jobsRoute, method: 'post', pattern: '/v1/files', handle: async exchange => { await files.create(exchange) } },
    { ...jobsRoute, method: 'get', pattern: '/v1/files', handle: async exchange => { await files.list(exchange) } },
    { ...jobsRoute, method: 'get', pattern: '/v1/files/:file', handle: async exchange => { await files.get(exchange) } },
    { ...jobsRoute, method: 'delete', pattern: '/v1/files/:file', handle: async exchange => { await files.remove(exchange) } },
    { ...jobsRoute, method: 'get', pattern: '/v1/files/:file/content', handle: async exchange => { await files.content(exchange) } },
    { ...jobsRoute, method: 'post', pattern: '/v1/batches', handle: async exchange => { await batches.create(exchange) } },
    { ...jobsRoute, method: 'get', pattern: '/v1/batches', handle: async exchange => { await batches.list(exchange) } },
    { ...jobsRoute, method: 'get', pattern: '/v1/batches/:batch', handle: async exchange => { await batches.get(exchange) } },
    { ...jobsRoute, method: 'post', pattern: '/v1/batches/:batch/cancel', handle: async exchange => { await batches.cancel(exchange) } },
    { requiredStream: StreamName.Ledger, method: 'all', pattern: '/v1/services/:service/*', handle: async exchange => { await services.handle(exchange) } }
  ]
}
