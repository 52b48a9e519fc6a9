/** Stand-in for a model engine with an OpenAI-compatible HTTP API. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { EngineOrder } from '@arbutusloft/adapters'
import { answerJson, jsonOf, queryOf, serve } from '../util/serve.js'
import type { StandIn } from '../util/stand-in.js'
import { AnswerText, promptTokensOf } from './answer-text.js'
import { Batcher } from './batcher.js'
import { CacheJournal } from './cache-journal.js'
import { defaultEngineOptions } from './engine-options.js'
import type { EngineOptions } from './engine-options.js'
import { EventWriter } from './event-writer.js'
import { LoadJournal } from './load-journal.js'
import { OrderBook } from './order-book.js'
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
  readonly #journal: CacheJournal
  readonly #load: LoadJournal
  readonly #orders: OrderBook
  readonly #sequences = new Map<string, Sequence>()
  #standIn: StandIn | null = null
  began = 0

  constructor (private readonly options: EngineOptions) {
    this.#batcher = new Batcher(options)
    this.#journal = new CacheJournal(options)
    this.#cache = new PrefixCache(options.cacheBlocks, (stored, blocks) => { this.#journal.add(stored, blocks) })
    this.#load = new LoadJournal(options.loadLagMilliseconds, () => ({ running: this.running, queued: this.queued }))
    this.#orders = new OrderBook(options)
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
    return this.#orders.carriedOut
  }

  async start (): Promise<void> {
    this.#standIn = await serve(this.options.port, application => {
      application.post('/v1/chat/completions', (request, response) => { void this.#begin(true, request, response) })
      application.post('/v1/completions', (request, response) => { void this.#begin(false, request, response) })
      application.get('/v1/streams/:id', (request, response) => { this.#resume(request.params['id'] as string, request, response) })
      application.delete('/v1/streams/:id', (request, response) => { this.#cancel(request.params['id'] as string, response) })
      application.get('/load', (_request, response) => { answerJson(response, this.#load.report()) })
      application.get('/cache/events', (request, response) => {
        answerJson(response, { events: this.#journal.from(Number(queryOf(request).get('from') ?? 0)) })
      })
      application.get('/state', (_request, response) => { answerJson(response, this.#orders.state) })
      application.post('/orders', (request, response) => { void this.#order(request, response) })
      application.get('/kv/:id', (request, response) => { this.#exportCache(request.params['id'] as string, response) })
      application.put('/kv/:id', (request, response) => { void this.#importCache(request, response) })
      application.get('/control', (_request, response) => {
        answerJson(response, { running: this.running, queued: this.queued, generated: this.generated, began: this.began })
      })
    })
  }

  async close (): Promise<void> {
    this.#batcher.close()
    this.#load.close()
    for (const sequence of this.#sequences.values()) {
      this.#clearExpiry(sequence)
    }
    await this.#standIn?.close()
  }

  async #begin (chat: boolean, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await jsonOf(request)
    const prompt = chat ? chatPrompt(body['messages']) : String(body['prompt'] ?? '')
    const { model } = this.#orders.state
    if (body['model'] !== model) {
      answerJson(response, { error: { message: `model '${String(body['model'])}' is not served: this engine serves '${model}'` } }, 404)
      return
    }
    if (prompt.includes('[reject]')) {
      answerJson(response, { error: { message: 'the prompt contains [reject]' } }, 400)
      return
    }
    if (prompt.includes('[fail]')) {
      answerJson(response, { error: { message: 'the prompt contains [fail]' } }, 500)
      return
    }
    this.began += 1
    const sequence = this.#create(String(request.headers['x-dispatch-id'] ?? ''), chat, prompt, body)
    this.#sequences.set(sequence.id, sequence)
    this.#read(sequence, response)
    this.#batcher.add(sequence)
  }

  #create (id: string, chat: boolean, prompt: string, body: Record<string, unknown>): Sequence {
    const text = new AnswerText(prompt)
    const promptTokens = promptTokensOf(prompt)
    const cachedTokens = Math.min(promptTokens - 1, this.#cache.use(prompt))
    const allowed = Number(body['max_completion_tokens'] ?? body['max_tokens'] ?? Infinity)
    return {
      id,
      chat,
      model: this.#orders.state.model,
      prompt,
      text,
      promptTokens,
      cachedTokens,
      length: Math.max(1, Math.min(allowed, this.options.answerTokens ?? text.naturalTokens)),
      prefillLeft: promptTokens - cachedTokens,
      generated: 0,
      reader: null,
      expiry: null
    }
  }

  /** Attaches a reader; if its connection closes early, the sequence pauses and can be resumed for a limited time. */
  #read (sequence: Sequence, response: ServerResponse): EventWriter {
    const writer = new EventWriter(response, sequence)
    sequence.reader = writer
    response.once('close', () => {
      if (sequence.reader === writer) {
        sequence.reader = null
        this.#batcher.remove(sequence)
        this.#expireLater(sequence)
      }
    })
    return writer
  }

  #resume (id: string, request: IncomingMessage, response: ServerResponse): void {
    const sequence = this.#sequences.get(id)
    const from = Number(queryOf(request).get('from') ?? 0)
    if (sequence === undefined || from > sequence.generated) {
      answerJson(response, { error: { message: 'no such stream' } }, 404)
      return
    }
    this.#clearExpiry(sequence)
    this.#batcher.remove(sequence)
    const writer = this.#read(sequence, response)
    for (let index = from; index < sequence.generated; index++) {
      writer.onToken(index)
    }
    if (sequence.generated >= sequence.length) {
      writer.onEnd()
    } else {
      this.#batcher.add(sequence)
    }
  }

  #cancel (id: string, response: ServerResponse): void {
    const sequence = this.#sequences.get(id)
    if (sequence === undefined) {
      answerJson(response, { error: { message: 'no such stream' } }, 404)
      return
    }
    this.#drop(sequence)
    answerJson(response, {})
  }

  #expireLater (sequence: Sequence): void {
    this.#clearExpiry(sequence)
    sequence.expiry = setTimeout(() => { this.#drop(sequence) }, this.options.resumeMilliseconds)
  }

  #clearExpiry (sequence: Sequence): void {
    if (sequence.expiry !== null) {
      clearTimeout(sequence.expiry)
      sequence.expiry = null
    }
  }

  #drop (sequence: Sequence): void {
    this.#clearExpiry(sequence)
    this.#batcher.remove(sequence)
    this.#sequences.delete(sequence.id)
  }

  async #order (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = await jsonOf(request) as unknown as EngineOrder
    const taken = await this.#orders.take(order)
    if (taken) {
      answerJson(response, this.#orders.state)
    } else {
      answerJson(response, { error: { message: `stale fencing token ${order.fencing}: expected at least ${this.#orders.state.fencing}` } }, 409)
    }
  }

  /** Responds with the state of a sequence, from which another engine can continue it. */
  #exportCache (id: string, response: ServerResponse): void {
    const sequence = this.#sequences.get(id)
    if (sequence === undefined) {
      answerJson(response, { error: { message: 'no such stream' } }, 404)
      return
    }
    const { chat, prompt, length, generated } = sequence
    answerJson(response, { id, chat, prompt, length, generated })
  }

  /** Creates a paused sequence from the state that another engine exported. */
  async #importCache (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const state = await jsonOf(request)
    const sequence = this.#create(String(state['id']), state['chat'] === true, String(state['prompt']), {})
    const imported: Sequence = { ...sequence, length: Number(state['length']), generated: Number(state['generated']), prefillLeft: 0 }
    this.#sequences.set(imported.id, imported)
    this.#expireLater(imported)
    answerJson(response, {})
  }
}

function chatPrompt (messages: unknown): string {
  if (!Array.isArray(messages)) {
    return ''
  }
  return messages.map((message: { readonly role?: unknown, readonly content?: unknown }) => {
    return `${String(message.role)}: ${String(message.content ?? '')}`
  }).join('\n')
}
