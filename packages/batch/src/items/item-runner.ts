/** Runs batch items one by one: generations on engines, calls on plain services. */
import type { Configuration } from '@arbutusloft/configuration'
import { DispatchErrorCode, Generation, sleep } from '@arbutusloft/daemon'
import type { DispatchError, GenerationRunner, Membership, ServiceRunner } from '@arbutusloft/daemon'
import { GenerationPath, isGenerationPath } from '@arbutusloft/adapters'
import type { Engine, GenerationUsage } from '@arbutusloft/adapters'
import { backoffMilliseconds, estimateTokens, prefixBlocks } from '@arbutusloft/policy'
import { createIdentifier, WorkClass } from '@arbutusloft/protocol'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { answeredItem, failedItem, ItemErrorCode } from './item-result.js'
import type { ItemName, ItemResult } from './item-result.js'
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
  readonly attempts: number
}

/** The job on whose behalf an item runs. */
export interface ItemConditions {
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

const patienceMilliseconds = 60_000
const busyRetryMilliseconds = { baseMilliseconds: 200, capMilliseconds: 5_000 } as const
const statusOk = 200
const millisecondsPerSecond = 1_000

/**
 * Runs an item until it has a result. Retries without limit while targets are busy or unreachable; only failures
 * at a target count as attempts.
 */
export class ItemRunner {
  constructor (private readonly options: ItemRunnerOptions) {}

  async run (item: BatchItem, conditions: ItemConditions): Promise<Result<ItemResult, ItemStopped>> {
    if (!this.#isAllowed(item, conditions.client)) {
      return Ok(failedItem(item, ItemErrorCode.NotAllowed, `the client's plan does not allow "${item.subject}"`))
    }
    return isGenerationPath(item.url)
      ? await this.#generate(item, item.url, conditions)
      : await this.#call(item, conditions)
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
    conditions: ItemConditions
  ): Promise<Result<ItemResult, ItemStopped>> {
    const generation = new Generation({ engine: this.options.engine, path, body: item.body, onToken: () => {} })
    const promptTokens = estimateTokens(item.prompt)
    const blocks = prefixBlocks(item.prompt)
    return await this.#untilResult(item, conditions, async () => {
      const result = await this.options.generations.run({
        generation,
        model: item.subject,
        blocks,
        workClass: WorkClass.Batch,
        client: conditions.client,
        cost: { promptTokens, completionTokens: item.greatestTokens },
        patience: patienceMilliseconds,
        slack: conditions.slack,
        signal: conditions.signal
      })
      if (conditions.signal.aborted) {
        void generation.discard(target => this.options.membership.find(target)?.address ?? null)
      }
      return result.map(usage => answeredItem(item, statusOk, answerBody(path, item, generation, usage), usage))
    })
  }

  async #call (item: BatchItem, conditions: ItemConditions): Promise<Result<ItemResult, ItemStopped>> {
    const repeatable = this.options.configuration().services.get(item.subject)?.repeatable === true
    return await this.#untilResult(item, conditions, async () => {
      const result = await this.options.services.run({
        service: item.subject,
        call: {
          method: 'POST',
          path: servicePathOf(item.url),
          contentType: 'application/json',
          idempotencyKey: `${conditions.job}:${item.item}`,
          body: Buffer.from(JSON.stringify(item.body))
        },
        repeatable,
        workClass: WorkClass.Batch,
        client: conditions.client,
        patience: patienceMilliseconds,
        slack: conditions.slack,
        // Aborting a non-idempotent call would leave its outcome unknown.
        signal: repeatable ? conditions.signal : new AbortController().signal
      })
      return result.map(answer => answeredItem(item, answer.status, parseBody(answer.body), { promptTokens: 0, completionTokens: 0 }))
    }, repeatable)
  }

  /** Retries with backoff until the item has a result, counting the attempts that failed at a target. */
  async #untilResult (
    name: ItemName,
    conditions: ItemConditions,
    attempt: () => Promise<Result<ItemResult, DispatchError>>,
    repeatable = true
  ): Promise<Result<ItemResult, ItemStopped>> {
    let failures = 0
    for (let round = 1; ; round++) {
      const result = await attempt()
      if (result.ok) {
        return Ok(result.val)
      }
      if (conditions.signal.aborted) {
        return Err(new ItemStopped('the job was cancelled or claimed by another process'))
      }
      failures += countsAsFailure(result.val) ? 1 : 0
      const final = this.#finalResult(name, result.val, failures, repeatable)
      if (final !== null) {
        return Ok(final)
      }
      await sleep(backoffMilliseconds(round, Math.random(), busyRetryMilliseconds), conditions.signal)
    }
  }

  /** Returns the item's result after a failed attempt, or null if the item is to be retried. */
  #finalResult (name: ItemName, error: DispatchError, failures: number, repeatable: boolean): ItemResult | null {
    if (!repeatable && !error.notRun) {
      return failedItem(name, ItemErrorCode.OutcomeUnknown, `the call is not idempotent and may have run, so it is not retried: ${error.message}`)
    }
    if (error.code === DispatchErrorCode.Rejected) {
      return failedItem(name, ItemErrorCode.Rejected, error.message, error.status)
    }
    if (failures >= this.options.attempts) {
      return failedItem(name, ItemErrorCode.Failed, `failed ${failures} times; last error: ${error.message}`)
    }
    return null
  }
}

function countsAsFailure (error: DispatchError): boolean {
  return error.code === DispatchErrorCode.Failed || error.code === DispatchErrorCode.Diverged
}

function answerBody (path: GenerationPath, item: BatchItem, generation: Generation, usage: GenerationUsage): object {
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

function parseBody (body: Uint8Array): unknown {
  const text = Buffer.from(body).toString('utf8')
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
