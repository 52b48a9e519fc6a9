/** Handler of `/v1/services/{service}/…`. */
import { createHash } from 'node:crypto'
import type { Configuration, Service, Settings } from '@arbutusloft/configuration'
import type { ServiceRunner } from '@arbutusloft/daemon'
import type { ServiceResponse } from '@arbutusloft/adapters'
import { RecordType, WorkClass } from '@arbutusloft/protocol'
import { ApiError, ApiErrorType, ExecutionOutcome } from '../http/api-error.js'
import { abortOnDisconnect } from '../http/abort-on-disconnect.js'
import { readBody } from '../http/read-body.js'
import type { ReplicatedLedgerWriter } from '../ledger/replicated-ledger-writer.js'
import type { ClientLimits } from '../limits/client-limits.js'
import { toApiError } from '../http/to-api-error.js'
import { chargeIdentifierOf, idempotencyKeyOf } from '../pipeline/exchange.js'
import type { ClientExchange } from '../pipeline/exchange.js'
import type { SendResult, AtMostOnceCalls } from './at-most-once-calls.js'

/** Options of {@link ServicesHandler}. */
export interface ServicesHandlerOptions {
  readonly settings: Settings
  readonly configuration: () => Configuration
  readonly runner: ServiceRunner
  readonly atMostOnceCalls: AtMostOnceCalls
  readonly limits: ClientLimits
  readonly ledger: ReplicatedLedgerWriter
}

/** Tokens that a call counts against the client's token rate. */
const tokensPerCall = 1

/** Forwards calls to plain services. */
export class ServicesHandler {
  constructor (private readonly options: ServicesHandlerOptions) {}

  async handle (exchange: ClientExchange): Promise<void> {
    const service = this.#serviceOf(exchange)
    const body = await readBody(exchange.request, this.options.settings.limits.requestBytes)
    const admission = this.options.limits.admit(exchange.client.name, exchange.plan, tokensPerCall)
    try {
      const response = service.repeatable
        ? await this.#runIdempotent(exchange, service, body)
        : await this.#runAtMostOnce(exchange, service, body)
      sendResponse(exchange, response)
    } finally {
      admission.release(tokensPerCall)
    }
  }

  #serviceOf (exchange: ClientExchange): Service {
    const name = exchange.parameters['service'] ?? ''
    const service = this.options.configuration().services.get(name)
    if (service === undefined || !exchange.plan.services.includes(name)) {
      throw new ApiError(404, ApiErrorType.NotFound, `your plan has no service "${name}"`, { run: ExecutionOutcome.NotRun })
    }
    return service
  }

  async #runIdempotent (exchange: ClientExchange, service: Service, body: Buffer): Promise<ServiceResponse> {
    const result = await this.#dispatch(exchange, service, body, abortOnDisconnect(exchange.response))
    if (result.err) {
      throw toApiError(result.val)
    }
    if (isSuccess(result.val.status)) {
      void this.options.ledger.append({
        type: RecordType.Charged,
        ...chargeIdentifierOf(exchange),
        client: exchange.client.name,
        subject: service.name,
        usage: { requests: 1, promptTokens: 0, completionTokens: 0 }
      })
    }
    return result.val
  }

  async #runAtMostOnce (exchange: ClientExchange, service: Service, body: Buffer): Promise<ServiceResponse> {
    const call = {
      client: exchange.client.name,
      service: service.name,
      idempotencyKey: idempotencyKeyOf(exchange) ?? exchange.id,
      digest: digestOf(exchange, body)
    }
    return await this.options.atMostOnceCalls.run(call, async (): Promise<SendResult> => {
      // A disconnecting caller doesn't abort the call, because its outcome would then be unknown.
      const result = await this.#dispatch(exchange, service, body, new AbortController().signal)
      return result.ok
        ? { response: result.val, notRun: false, message: '' }
        : { response: null, notRun: result.val.notRun, message: result.val.message }
    })
  }

  async #dispatch (
    exchange: ClientExchange,
    service: Service,
    body: Buffer,
    signal: AbortSignal
  ): ReturnType<ServiceRunner['run']> {
    const { request } = exchange
    return await this.options.runner.run({
      service: service.name,
      call: {
        method: request.method ?? 'GET',
        path: pathAtService(exchange),
        contentType: request.headers['content-type'] ?? null,
        idempotencyKey: idempotencyKeyOf(exchange) ?? exchange.id,
        body: body.byteLength === 0 ? null : body
      },
      isIdempotent: service.repeatable,
      workClass: WorkClass.Online,
      client: exchange.client.name,
      maximumWaitMilliseconds: this.options.settings.limits.patienceMilliseconds,
      slackMilliseconds: 0,
      signal
    })
  }
}

const servicePathPrefix = /^\/v1\/services\/[^/]+/

/** Returns the path at the service, with the caller's query. */
function pathAtService (exchange: ClientExchange): string {
  return (exchange.request.url ?? '/').replace(servicePathPrefix, '')
}

function digestOf (exchange: ClientExchange, body: Buffer): string {
  const hash = createHash('sha256')
  hash.update(`${exchange.request.method ?? ''}\n${pathAtService(exchange)}\n`)
  return hash.update(body).digest('hex')
}

function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}

function sendResponse (exchange: ClientExchange, response: ServiceResponse): void {
  exchange.response.writeHead(response.status, {
    'content-type': response.contentType,
    'content-length': response.body.byteLength
  })
  exchange.response.end(response.body)
}
