/** Stand-in for a model engine with an OpenAI-compatible HTTP API. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { EngineOrder } from '@arbutusloft/adapters'
import { parseQuery, readJson, sendJson, serve } from '../util/serve.js'
import type { StandIn } from '../util/stand-in.js'
import { AnswerText, countPromptTokens } from './answer-text.js'
import { Batcher } from './batcher.js'
import { CacheEventLog } from './cache-event-log.js'
import { defaultEngineOptions } from './engine-options.js'
import type { EngineOptions } from './engine-options.js'
import { EventWriter } from './event-writer.js'
import { LoadHistory } from './load-history.js'
import { OrderExecutor } from './order-executor.js'
import { PrefixCache } from './prefix-cache.js'
import type { Sequence } from './sequence.js'

/** A running engine stand-in. */
export interface EngineStandIn extends StandIn {
  /** Number of running sequences. */
  readonly running: number
  /** Number of queued sequences. */
  readonly queued: number
  /** Number of tokens generated since the start. */
  readonly generated: number
  /** Number of generation requests accepted since the start. */
  readonly began: number
  /** Executed orders, in order of execution. */
  readonly orders: readonly EngineOrder[]
}

/** Starts an engine stand-in. A prompt that contains `[reject]` is answered with status 400, `[fail]` with 500. */
export async function startEngineStandIn (options: Partial<EngineOptions> = {}): Promise<EngineStandIn> {
  const engine = new EngineServer({ ...defaultEngineOptions, ...options })
  await engine.start()
  return engine
}

class EngineServer implements EngineStandIn {
  readonly #batcher: Batcher
  readonly #cache: PrefixCache
  readonly #cacheEvents: CacheEventLog
  readonly #loadHistory: LoadHistory
  readonly #orderExecutor: OrderExecutor
  readonly #sequences = new Map<string, Sequence>()
  #standIn: StandIn | null = null
  began = 0

  constructor (private readonly options: EngineOptions) {
    this.#batcher = new Batcher(options)
    this.#cacheEvents = new CacheEventLog(options)
    this.#cache = new PrefixCache(options.prefixCacheBlocks, (stored, blocks) => { this.#cacheEvents.record(stored, blocks) })
    this.#loadHistory = new LoadHistory(options.loadLagMilliseconds, () => ({ running: this.running, queued: this.queued }))
    this.#orderExecutor = new OrderExecutor(options)
  }

  get address (): string {
    return this.#standIn?.address ?? ''
  }

  get running (): number {
    return this.#batcher.running
  }

  get queued (): number {
    return this.#batcher.queued
  }

  get generated (): number {
    return this.#batcher.generated
  }

  get orders (): readonly EngineOrder[] {
    return this.#orderExecutor.executed
  }

  async start (): Promise<void> {
    this.#standIn = await serve(this.options.port, application => {
      application.post('/v1/chat/completions', (request, response) => { void this.#generate(true, request, response) })
      application.post('/v1/completions', (request, response) => { void this.#generate(false, request, response) })
      application.get('/v1/streams/:id', (request, response) => { this.#resume(request.params['id'] as string, request, response) })
      application.delete('/v1/streams/:id', (request, response) => { this.#cancel(request.params['id'] as string, response) })
      application.get('/load', (_request, response) => { sendJson(response, this.#loadHistory.report()) })
      application.get('/cache/events', (request, response) => {
        sendJson(response, { events: this.#cacheEvents.readFrom(Number(parseQuery(request).get('from') ?? 0)) })
      })
      application.get('/state', (_request, response) => { sendJson(response, this.#orderExecutor.state) })
      application.post('/orders', (request, response) => { void this.#executeOrder(request, response) })
      application.get('/kv/:id', (request, response) => { this.#exportSequence(request.params['id'] as string, response) })
      application.put('/kv/:id', (request, response) => { void this.#importSequence(request, response) })
      application.get('/control', (_request, response) => {
        sendJson(response, { running: this.running, queued: this.queued, generated: this.generated, began: this.began })
      })
    })
  }

  async close (): Promise<void> {
    this.#batcher.close()
    this.#loadHistory.close()
    for (const sequence of this.#sequences.values()) {
      this.#clearExpiryTimer(sequence)
    }
    await this.#standIn?.close()
  }

  async #generate (isChat: boolean, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request)
    const prompt = isChat ? formatChatPrompt(body['messages']) : String(body['prompt'] ?? '')
    const { model } = this.#orderExecutor.state
    if (body['model'] !== model) {
      sendJson(response, { error: { message: `this engine serves ${model}` } }, 404)
      return
    }
    if (prompt.includes('[reject]')) {
      sendJson(response, { error: { message: 'the prompt is not acceptable' } }, 400)
      return
    }
    if (prompt.includes('[fail]')) {
      sendJson(response, { error: { message: 'the engine failed on this prompt' } }, 500)
      return
    }
    this.began += 1
    const sequence = this.#createSequence(String(request.headers['x-dispatch-id'] ?? ''), isChat, prompt, body)
    this.#sequences.set(sequence.id, sequence)
    this.#attachListener(sequence, response)
    this.#batcher.add(sequence)
  }

  #createSequence (id: string, isChat: boolean, prompt: string, body: Record<string, unknown>): Sequence {
    const answer = new AnswerText(prompt)
    const promptTokens = countPromptTokens(prompt)
    const cachedTokens = Math.min(promptTokens - 1, this.#cache.matchAndStore(prompt))
    const requestedMaximum = Number(body['max_completion_tokens'] ?? body['max_tokens'] ?? Infinity)
    return {
      id,
      isChat,
      model: this.#orderExecutor.state.model,
      prompt,
      answer,
      promptTokens,
      cachedTokens,
      answerTokens: Math.max(1, Math.min(requestedMaximum, this.options.answerTokens ?? answer.defaultTokens)),
      remainingPrefillTokens: promptTokens - cachedTokens,
      generated: 0,
      listener: null,
      expiryTimer: null
    }
  }

  /** Writes the tokens to a response; if its connection closes early, the sequence pauses and can be resumed for a limited time. */
  #attachListener (sequence: Sequence, response: ServerResponse): EventWriter {
    const writer = new EventWriter(response, sequence)
    sequence.listener = writer
    response.once('close', () => {
      if (sequence.listener === writer) {
        sequence.listener = null
        this.#batcher.remove(sequence)
        this.#startExpiryTimer(sequence)
      }
    })
    return writer
  }

  /** Continues a stream from token `from` on; answers 404 if the stream is unknown or has fewer tokens. */
  #resume (id: string, request: IncomingMessage, response: ServerResponse): void {
    const sequence = this.#sequences.get(id)
    const from = Number(parseQuery(request).get('from') ?? 0)
    if (sequence === undefined || from > sequence.generated) {
      sendJson(response, { error: { message: 'no such stream' } }, 404)
      return
    }
    this.#clearExpiryTimer(sequence)
    this.#batcher.remove(sequence)
    const writer = this.#attachListener(sequence, response)
    for (let index = from; index < sequence.generated; index++) {
      writer.onToken(index)
    }
    if (sequence.generated >= sequence.answerTokens) {
      writer.onEnd()
    } else {
      this.#batcher.add(sequence)
    }
  }

  #cancel (id: string, response: ServerResponse): void {
    const sequence = this.#sequences.get(id)
    if (sequence === undefined) {
      sendJson(response, { error: { message: 'no such stream' } }, 404)
      return
    }
    this.#drop(sequence)
    sendJson(response, {})
  }

  #startExpiryTimer (sequence: Sequence): void {
    this.#clearExpiryTimer(sequence)
    sequence.expiryTimer = setTimeout(() => { this.#drop(sequence) }, this.options.resumeMilliseconds)
  }

  #clearExpiryTimer (sequence: Sequence): void {
    if (sequence.expiryTimer !== null) {
      clearTimeout(sequence.expiryTimer)
      sequence.expiryTimer = null
    }
  }

  #drop (sequence: Sequence): void {
    this.#clearExpiryTimer(sequence)
    this.#batcher.remove(sequence)
    this.#sequences.delete(sequence.id)
  }

  async #executeOrder (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = await readJson(request) as unknown as EngineOrder
    const executed = await this.#orderExecutor.execute(order)
    if (executed) {
      sendJson(response, this.#orderExecutor.state)
    } else {
      sendJson(response, { error: { message: 'old fencing number' } }, 409)
    }
  }

  /** Responds with the state of a sequence, from which another engine can continue it. */
  #exportSequence (id: string, response: ServerResponse): void {
    const sequence = this.#sequences.get(id)
    if (sequence === undefined) {
      sendJson(response, { error: { message: 'no such stream' } }, 404)
      return
    }
    const { isChat: chat, prompt, answerTokens: length, generated } = sequence
    sendJson(response, { id, chat, prompt, length, generated })
  }

  /** Creates a paused sequence from the state that another engine exported. */
  async #importSequence (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const state = await readJson(request)
    const sequence = this.#createSequence(String(state['id']), state['chat'] === true, String(state['prompt']), {})
    const imported: Sequence = { ...sequence, answerTokens: Number(state['length']), generated: Number(state['generated']), remainingPrefillTokens: 0 }
    this.#sequences.set(imported.id, imported)
    this.#startExpiryTimer(imported)
    sendJson(response, {})
  }
}

function formatChatPrompt (messages: unknown): string {
  if (!Array.isArray(messages)) {
    return ''
  }
  return messages.map((message: { readonly role?: unknown, readonly content?: unknown }) => {
    return `${String(message.role)}: ${String(message.content ?? '')}`
  }).join('\n')
}
