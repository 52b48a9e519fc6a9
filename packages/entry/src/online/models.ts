/** Handlers of `/v1/models`. */
import { notFound } from '../http/api-error.js'
import { sendJson } from '../http/send-json.js'
import type { ClientExchange } from '../pipeline/exchange.js'

/** Lists the models of the client's plan. */
export async function listModels (exchange: ClientExchange): Promise<void> {
  sendJson(exchange.response, { object: 'list', data: exchange.plan.models.map(modelObject) })
}

/** Shows one model of the client's plan. */
export async function getModel (exchange: ClientExchange): Promise<void> {
  const name = exchange.parameters['model'] ?? ''
  if (!exchange.plan.models.includes(name)) {
    throw notFound(`your plan has no model "${name}"`)
  }
  sendJson(exchange.response, modelObject(name))
}

function modelObject (name: string): object {
  return { id: name, object: 'model', created: 0, owned_by: 'arbutusloft' }
}
