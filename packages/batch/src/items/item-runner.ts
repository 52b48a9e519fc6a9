/** Runs a batch item: a generation on an engine, or a call to a plain service. */
import type { Configuration } from '@arbutusloft/configuration'
import { DispatchErrorCode, Generation, sleep } from '@arbutusloft/daemon'
import type { DispatchError, GenerationRunner, Membership, ServiceRunner } from '@arbutusloft/daemon'
import { GenerationPath, isGenerationPath } from '@arbutusloft/adapters'
import type { Engine, GenerationUsage } from '@arbutusloft/adapters'
import { backoffMilliseconds, estimateTokens, prefixBlocks } from '@arbutusloft/policy'
import { createIdentifier, WorkClass } from '@arbutusloft/protocol'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { createSuccessResult, createErrorResult, ItemErrorCode } from './item-result.js'
import type { ItemIdentity, ItemResult } from './item-result.js'
import { servicePathOf } from './parse-item.js'
import type { BatchItem } from './parse-item.js'

const { Ok, Err } = tsResults

/** Options of {@link ItemRunner}. */
export interface ItemRunnerOptions {
  readonly engine: Engine
  readonly generations: GenerationRunner
  readonly services: ServiceRunner
  readonly membership: Membership
  readonly configuration: () => Configuration
  /** Number of failures at targets after which an item goes to the error file. */
  readonly maximumFailures: number
}

/** The job on whose behalf an item runs. */
export interface ItemContext {
  readonly job: string
  readonly client: string
  /** Milliseconds between the estimated end of the job's remaining work and its deadline, negative if it will be late. */
  readonly slack: number
  /** Aborts when the job is cancelled or runs under another claim. */
  readonly signal: AbortSignal
}

/** Reports that the job was cancelled or taken over, so that the item has no result in this process. */
export class ItemStopped extends Error {
  override readonly name = 'ItemStopped'
}

const permitTimeoutMilliseconds = 60_000
const retryBackoff = { baseMilliseconds: 200, capMilliseconds: 5_000 } as const
const statusOk = 200
const millisecondsPerSecond = 1_000

/**
 * Runs an item until it has a result. Retries without limit while targets are busy or unreachable; only failures
 * at a target count towards `maximumFailures`.
 */
export class ItemRunner {
  constructor (private readonly options: ItemRunnerOptions) {}

  async run (item: BatchItem, context: ItemContext): Promise<Result<ItemResult, ItemStopped>> {
    if (!this.#isAllowed(item, context.client)) {
      return Ok(createErrorResult(item, ItemErrorCode.NotAllowed, `the plan does not allow "${item.subject}"`))
    }
    return isGenerationPath(item.url)
      ? await this.#generate(item, item.url, context)
      : await this.#callService(item, context)
  }

  #isAllowed (item: BatchItem, clientName: string): boolean {
    const configuration = this.options.configuration()
    const client = configuration.clients.get(clientName)
    const plan = configuration.plans.get(client?.plan ?? '')
    const allowed = isGenerationPath(item.url) ? plan?.models : plan?.services
    return allowed?.includes(item.subject) === true
  }

  async #generate (
    item: BatchItem,
    path: GenerationPath,
    context: ItemContext
  ): Promise<Result<ItemResult, ItemStopped>> {
    const generation = new Generation({ engine: this.options.engine, path, body: item.body, onToken: () => {} })
    const promptTokens = estimateTokens(item.prompt)
    const blocks = prefixBlocks(item.prompt)
    return await this.#retryUntilResult(item, context, async () => {
      const result = await this.options.generations.run({
        generation,
        model: item.subject,
        blocks,
        workClass: WorkClass.Batch,
        client: context.client,
        cost: { promptTokens, completionTokens: item.maximumCompletionTokens },
        maximumWaitMilliseconds: permitTimeoutMilliseconds,
        slackMilliseconds: context.slack,
        signal: context.signal
      })
      if (context.signal.aborted) {
        // Makes the target drop the stream that it still holds for this generation.
        void generation.discard(target => this.options.membership.find(target)?.address ?? null)
      }
      return result.map(usage => createSuccessResult(item, statusOk, responseBody(path, item, generation, usage), usage))
    })
  }

  async #callService (item: BatchItem, context: ItemContext): Promise<Result<ItemResult, ItemStopped>> {
    const idempotent = this.options.configuration().services.get(item.subject)?.repeatable === true
    return await this.#retryUntilResult(item, context, async () => {
      const result = await this.options.services.run({
        service: item.subject,
        call: {
          method: 'POST',
          path: servicePathOf(item.url),
          contentType: 'application/json',
          idempotencyKey: `${context.job}:${item.index}`,
          body: Buffer.from(JSON.stringify(item.body))
        },
        isIdempotent: idempotent,
        workClass: WorkClass.Batch,
        client: context.client,
        maximumWaitMilliseconds: permitTimeoutMilliseconds,
        slackMilliseconds: context.slack,
        // Aborting a non-idempotent call would leave its outcome unknown.
        signal: idempotent ? context.signal : new AbortController().signal
      })
      return result.map(answer => createSuccessResult(item, answer.status, parseResponseBody(answer.body), { promptTokens: 0, completionTokens: 0 }))
    }, idempotent)
  }

  /** Retries with backoff until the item has a result, counting the attempts that failed at a target. */
  async #retryUntilResult (
    identity: ItemIdentity,
    context: ItemContext,
    attempt: () => Promise<Result<ItemResult, DispatchError>>,
    idempotent = true
  ): Promise<Result<ItemResult, ItemStopped>> {
    let failures = 0
    for (let attemptNumber = 1; ; attemptNumber++) {
      const result = await attempt()
      if (result.ok) {
        return Ok(result.val)
      }
      if (context.signal.aborted) {
        return Err(new ItemStopped('the job was cancelled or claimed by another process'))
      }
      failures += countsAsFailure(result.val) ? 1 : 0
      const final = this.#finalResult(identity, result.val, failures, idempotent)
      if (final !== null) {
        return Ok(final)
      }
      await sleep(backoffMilliseconds(attemptNumber, Math.random(), retryBackoff), context.signal)
    }
  }

  /** Returns the item's result after a failed attempt, or null if the item is to be retried. */
  #finalResult (identity: ItemIdentity, error: DispatchError, failures: number, idempotent: boolean): ItemResult | null {
    if (!idempotent && !error.notRun) {
      return createErrorResult(identity, ItemErrorCode.OutcomeUnknown, `the call may have run and is not repeated: ${error.message}`)
    }
    if (error.code === DispatchErrorCode.Rejected) {
      return createErrorResult(identity, ItemErrorCode.Rejected, error.message, error.status)
    }
    if (failures >= this.options.maximumFailures) {
      return createErrorResult(identity, ItemErrorCode.Failed, `failed ${failures} times; the last: ${error.message}`)
    }
    return null
  }
}

/** Returns whether the attempt failed at a target. `Diverged` counts too: a target failed midway, and the tokens of the next attempt did not match. */
function countsAsFailure (error: DispatchError): boolean {
  return error.code === DispatchErrorCode.Failed || error.code === DispatchErrorCode.Diverged
}

function responseBody (path: GenerationPath, item: BatchItem, generation: Generation, usage: GenerationUsage): object {
  const chat = path === GenerationPath.Chat
  const finish = { logprobs: null, finish_reason: generation.finishReason ?? 'stop' }
  const choice = chat
    ? { index: 0, message: { role: 'assistant', content: generation.text, refusal: null }, ...finish }
    : { index: 0, text: generation.text, ...finish }
  return {
    id: createIdentifier('chatcmpl'),
    object: chat ? 'chat.completion' : 'text_completion',
    created: Math.floor(Date.now() / millisecondsPerSecond),
    model: item.subject,
    choices: [choice],
    usage: {
      prompt_tokens: usage.promptTokens,
      completion_tokens: usage.completionTokens,
      total_tokens: usage.promptTokens + usage.completionTokens
    }
  }
}

function parseResponseBody (body: Uint8Array): unknown {
  const text = Buffer.from(body).toString('utf8')
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
