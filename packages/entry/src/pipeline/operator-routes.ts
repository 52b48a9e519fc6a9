/** Table of the operators' routes. */
import type { ListsHandler, OperatorExchange } from '../operators/lists-handler.js'
import type { OverviewHandler } from '../operators/overview-handler.js'

/** Handlers of the operators' routes. */
export interface OperatorHandlers {
  readonly lists: ListsHandler
  readonly overview: OverviewHandler
}

/** A route of the operators' API. */
export interface OperatorRoute {
  readonly method: 'get' | 'put' | 'post'
  readonly pattern: string
  readonly handle: (exchange: OperatorExchange) => Promise<void>
}

/** Returns all routes of the operators' API. */
export function operatorRoutes ({ lists, overview }: OperatorHandlers): readonly OperatorRoute[] {
  return [
    { method: 'get', pattern: '/admin/lists/:list', handle: async exchange => { await lists.get(exchange) } },
    { method: 'put', pattern: '/admin/lists/:list', handle: async exchange => { await lists.put(exchange) } },
    { method: 'post', pattern: '/admin/lists/:list/edits', handle: async exchange => { await lists.edit(exchange) } },
    { method: 'get', pattern: '/admin/audit', handle: async exchange => { await lists.audit(exchange) } },
    { method: 'get', pattern: '/admin/jobs', handle: async exchange => { await overview.jobs(exchange) } },
    { method: 'get', pattern: '/admin/targets', handle: async exchange => { await overview.targets(exchange) } },
    { method: 'get', pattern: '/admin/charges', handle: async exchange => { await overview.charges(exchange) } }
  ]
}
