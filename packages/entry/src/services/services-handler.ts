/** Handler of `/v1/services/{service}/…`. */
import { createHash } from 'node:crypto'
import type { Configuration, Service, Settings } from '@arbutusloft/configuration'
import type { ServiceRunner } from '@arbutusloft/daemon'
import type { ServiceAnswer } from '@arbutusloft/adapters'
import { RecordType, WorkClass } from '@arbutusloft/protocol'
import { ApiError, ApiErrorType, RunState } from '../http/api-error.js'
import { abortOf } from '../http/abort-of.js'
import { readBody } from '../http/read-body.js'
import type { GuardedLedger } from '../ledger/guarded-ledger.js'
import type { ClientLimits } from '../limits/client-limits.js'
import { apiErrorOfDispatch } from '../online/dispatch-failure.js'
import { chargeNameOf, idempotencyKeyOf } from '../pipeline/exchange.js'
import type { ClientExchange } from '../pipeline/exchange.js'
import type { SendResult, SingleCalls } from './single-calls.js'

/** Options of {@link ServicesHandler}. */
export interface ServicesHandlerOptions {
  readonly settings: Settings
  readonly configuration: () => Configuration
  readonly runner: ServiceRunner
  readonly singleCalls: SingleCalls
  readonly limits: ClientLimits
  readonly ledger: GuardedLedger
}

/** Tokens that a call counts against the client's token rate. */
const callTokens = 1

/** Forwards calls to plain services. */
export class ServicesHandler {
  constructor (private readonly options: ServicesHandlerOptions) {}

  async handle (exchange: ClientExchange): Promise<void> {
    const service = this.#serviceOf(exchange)
    const body = await readBody(exchange.request, this.options.settings.limits.requestBytes)
    const admission = this.options.limits.admit(exchange.client.name, exchange.plan, callTokens)
    try {
      const answer = service.repeatable
        ? await this.#runRepeatable(exchange, service, body)
        : await this.#runSingle(exchange, service, body)
      send(exchange, answer)
    } finally {
      admission.release(callTokens)
    }
  }

  #serviceOf (exchange: ClientExchange): Service {
    const name = exchange.parameters['service'] ?? ''
    const service = this.options.configuration().services.get(name)
    if (service === undefined || !exchange.plan.services.includes(name)) {
      throw new ApiError(404, ApiErrorType.NotFound, `your plan has no service "${name}"`, { run: RunState.NotRun })
    }
    return service
  }

  async #runRepeatable (exchange: ClientExchange, service: Service, body: Buffer): Promise<ServiceAnswer> {
    const result = await this.#run(exchange, service, body, abortOf(exchange.response))
    if (result.err) {
      throw apiErrorOfDispatch(result.val)
    }
    if (isSuccess(result.val.status)) {
      void this.options.ledger.append({
        type: RecordType.Charged,
        ...chargeNameOf(exchange),
        client: exchange.client.name,
        subject: service.name,
        usage: { requests: 1, promptTokens: 0, completionTokens: 0 }
      })
    }
    return result.val
  }

  async #runSingle (exchange: ClientExchange, service: Service, body: Buffer): Promise<ServiceAnswer> {
    const call = {
      client: exchange.client.name,
      service: service.name,
      idempotencyKey: idempotencyKeyOf(exchange) ?? exchange.id,
      digest: digestOf(exchange, body)
    }
    return await this.options.singleCalls.run(call, async (): Promise<SendResult> => {
      // A disconnecting caller doesn't abort the call, because its outcome would then be unknown.
      const result = await this.#run(exchange, service, body, new AbortController().signal)
      return result.ok
        ? { answer: result.val, notRun: false, message: '' }
        : { answer: null, notRun: result.val.notRun, message: result.val.message }
    })
  }

  async #run (
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
        path: pathOf(exchange),
        contentType: request.headers['content-type'] ?? null,
        idempotencyKey: idempotencyKeyOf(exchange) ?? exchange.id,
        body: body.byteLength === 0 ? null : body
      },
      repeatable: service.repeatable,
      workClass: WorkClass.Online,
      client: exchange.client.name,
      patience: this.options.settings.limits.patienceMilliseconds,
      slack: 0,
      signal
    })
  }
}

const servicePrefix = /^\/v1\/services\/[^/]+/

/** Returns the path at the service, with the caller's query. */
function pathOf (exchange: ClientExchange): string {
  return (exchange.request.url ?? '/').replace(servicePrefix, '')
}

function digestOf (exchange: ClientExchange, body: Buffer): string {
  const hash = createHash('sha256')
  hash.update(`${exchange.request.method ?? ''}\n${pathOf(exchange)}\n`)
  return hash.update(body).digest('hex')
}

function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}

function send (exchange: ClientExchange, answer: ServiceAnswer): void {
  exchange.response.writeHead(answer.status, {
    'content-type': answer.contentType,
    'content-length': answer.body.byteLength
  })
  exchange.response.end(answer.body)
}
