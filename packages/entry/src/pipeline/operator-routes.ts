/** Routes of operators, listed in one place. */
import type { ListsHandler, OperatorExchange } from '../operators/lists-handler.js'
import type { OverviewHandler } from '../operators/overview-handler.js'

/** Handlers that the routes lead to. */
export interface OperatorHandlers {
  readonly lists: ListsHandler
  readonly overview: OverviewHandler
}

/** One route. */
export interface OperatorRoute {
  readonly method: 'get' | 'put' | 'post'
  readonly pattern: string
  readonly handle: (exchange: OperatorExchange) => Promise<void>
}

/** All routes of operators. */
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
