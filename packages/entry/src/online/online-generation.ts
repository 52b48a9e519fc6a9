/** Handler of `/v1/chat/completions` and `/v1/completions`. */
import type { Configuration, Settings } from '@arbutusloft/configuration'
import { Generation } from '@arbutusloft/daemon'
import type { GenerationRunner, Membership } from '@arbutusloft/daemon'
import type { Engine, GenerationPath, GenerationUsage } from '@arbutusloft/adapters'
import { estimateTokens, prefixBlocks } from '@arbutusloft/policy'
import { createIdentifier, RecordType, WorkClass } from '@arbutusloft/protocol'
import { ApiError, ApiErrorType, ExecutionOutcome } from '../http/api-error.js'
import { abortOnDisconnect } from '../http/abort-on-disconnect.js'
import { readJson } from '../http/read-body.js'
import type { ReplicatedLedgerWriter } from '../ledger/replicated-ledger-writer.js'
import type { ClientLimits } from '../limits/client-limits.js'
import { chargeIdentifierOf } from '../pipeline/exchange.js'
import type { ClientExchange } from '../pipeline/exchange.js'
import { StreamingResponseWriter, BufferedResponseWriter } from './response-writer.js'
import type { ResponseWriter } from './response-writer.js'
import { toApiError } from '../http/to-api-error.js'
import { parseGenerationBody } from './generation-body.js'
import type { GenerationBody } from './generation-body.js'

/** Options of {@link OnlineGeneration}. */
export interface OnlineGenerationOptions {
  readonly settings: Settings
  readonly engine: Engine
  readonly runner: GenerationRunner
  readonly limits: ClientLimits
  readonly configuration: () => Configuration
  readonly membership: Membership
  readonly ledger: ReplicatedLedgerWriter
}

const millisecondsPerSecond = 1_000

/**
 * Handles online generations in these stages: validate the body, check the model against the plan, apply the client's
 * limits; then, in the runner, choose a target, get a permit, dispatch and relay tokens; finally charge the client.
 */
export class OnlineGeneration {
  constructor (private readonly options: OnlineGenerationOptions) {}

  /** Handles one request to the path. */
  async handle (path: GenerationPath, exchange: ClientExchange): Promise<void> {
    const json = await readJson(exchange.request, this.options.settings.limits.requestBytes)
    const body = parseGenerationBody(path, json)
    requireModelInPlan(exchange, body.model)
    const promptTokens = estimateTokens(body.prompt)
    requireFitsContext(this.options.configuration(), body.model, promptTokens)
    const admission = this.options.limits.admit(exchange.client.name, exchange.plan, promptTokens + body.maximumCompletionTokens)
    let usedTokens = 0
    try {
      usedTokens = await this.#run(path, exchange, body, promptTokens)
    } finally {
      admission.release(usedTokens)
    }
  }

  /** Runs the request and returns the tokens it used; after an error, the estimate of the prompt plus the tokens delivered. */
  async #run (
    path: GenerationPath,
    exchange: ClientExchange,
    body: GenerationBody,
    promptTokens: number
  ): Promise<number> {
    const writer = createResponseWriter(path, exchange, body)
    const generation = new Generation({
      engine: this.options.engine,
      path,
      body: body.body,
      onToken: token => { writer.onToken(token) }
    })
    const result = await this.options.runner.run({
      generation,
      model: body.model,
      blocks: prefixBlocks(body.prompt),
      workClass: WorkClass.Online,
      client: exchange.client.name,
      cost: { promptTokens, completionTokens: body.maximumCompletionTokens },
      maximumWaitMilliseconds: this.options.settings.limits.patienceMilliseconds,
      slackMilliseconds: 0,
      signal: abortOnDisconnect(exchange.response)
    })
    if (result.err) {
      // Makes the target drop the stream that it still holds for this generation.
      void generation.discard(target => this.options.membership.find(target)?.address ?? null)
      writer.fail(toApiError(result.val))
      return promptTokens + generation.deliveredTokens
    }
    this.#charge(exchange, body.model, result.val)
    await writer.finish(result.val, generation.finishReason ?? 'stop')
    return result.val.promptTokens + result.val.completionTokens
  }

  /** Reports and appends the charge before the end of the response is sent, without waiting for the log to acknowledge it. */
  #charge (exchange: ClientExchange, model: string, usage: GenerationUsage): void {
    const { promptTokens, completionTokens } = usage
    void this.options.ledger.append({
      type: RecordType.Charged,
      ...chargeIdentifierOf(exchange),
      client: exchange.client.name,
      subject: model,
      usage: { requests: 1, promptTokens, completionTokens }
    })
  }
}

function createResponseWriter (path: GenerationPath, exchange: ClientExchange, body: GenerationBody): ResponseWriter {
  const metadata = {
    id: createIdentifier('chatcmpl'),
    path,
    model: body.model,
    created: Math.floor(Date.now() / millisecondsPerSecond)
  }
  return body.stream
    ? new StreamingResponseWriter(exchange.response, metadata, body.includeUsage)
    : new BufferedResponseWriter(exchange.response, metadata)
}

/** Rejects prompts whose estimated length exceeds the model's context; the engine checks the exact length. */
function requireFitsContext (configuration: Configuration, model: string, promptTokens: number): void {
  const contextTokens = configuration.models.get(model)?.contextTokens ?? Infinity
  if (promptTokens > contextTokens) {
    throw new ApiError(400, ApiErrorType.InvalidRequest, `the prompt has about ${promptTokens} tokens, and "${model}" takes ${contextTokens}: shorten it`, {
      code: 'context_length_exceeded',
      parameter: 'messages',
      run: ExecutionOutcome.NotRun
    })
  }
}

/** Rejects models that the client's plan does not include. */
export function requireModelInPlan (exchange: ClientExchange, model: string): void {
  if (!exchange.plan.models.includes(model)) {
    const known = exchange.plan.models.join(', ')
    throw new ApiError(404, ApiErrorType.NotFound, `your plan has no model "${model}"; it has: ${known}`, {
      code: 'model_not_found',
      parameter: 'model',
      run: ExecutionOutcome.NotRun
    })
  }
}
