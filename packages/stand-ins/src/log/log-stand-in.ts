/** Stand-in for the platform's log service. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { answerJson, bodyOf, jsonOf, queryOf, serve } from '../util/serve.js'
import type { StandIn } from '../util/stand-in.js'
import { LogStream } from './log-stream.js'

/** Options of {@link startLogStandIn}. */
export interface LogStandInOptions {
  readonly port?: number
  /** Appends a second over all streams. */
  readonly appendsPerSecond?: number
  /** Greatest entry, in bytes. */
  readonly entryBytes?: number
  /** Milliseconds for which entries are kept. */
  readonly retentionMilliseconds?: number
}

/** Faults that can be switched on. */
export interface LogFaults {
  /** Nothing is answered but errors, and nothing is appended. */
  readonly outage: boolean
  /** Milliseconds before every answer. */
  readonly delayMilliseconds: number
  /** Number of appends from now on that are done but not answered. */
  readonly loseAnswers: number
}

/** A running log stand-in. */
export interface LogStandIn extends StandIn {
  /** Switches faults; those not named stay as they are. */
  setFaults: (faults: Partial<LogFaults>) => void
  /** Appends done since the start. */
  readonly appends: number
  /** Appends refused for the rate limit since the start. */
  readonly refused: number
  /** All entries that a stream keeps. */
  entries: (stream: string) => ReadonlyArray<{ readonly offset: number, readonly data: Buffer }>
}

const defaults: Required<LogStandInOptions> = {
  port: 0,
  appendsPerSecond: 400,
  entryBytes: 1_048_576,
  retentionMilliseconds: 3_600_000
}

const millisecondsPerSecond = 1_000
const greatestPageBytes = 4_194_304

/** Starts a log stand-in. */
export async function startLogStandIn (options: LogStandInOptions = {}): Promise<LogStandIn> {
  const log = new LogServer({ ...defaults, ...options })
  await log.start()
  return log
}

class LogServer implements LogStandIn {
  readonly #streams = new Map<string, LogStream>()
  #faults: LogFaults = { outage: false, delayMilliseconds: 0, loseAnswers: 0 }
  #standIn: StandIn | null = null
  #allowance: number
  #allowanceAt = Date.now()
  appends = 0
  refused = 0

  constructor (private readonly options: Required<LogStandInOptions>) {
    this.#allowance = options.appendsPerSecond
  }

  get address (): string {
    return this.#standIn?.address ?? ''
  }

  async start (): Promise<void> {
    this.#standIn = await serve(this.options.port, application => {
      application.post('/streams/:stream', (request, response) => { void this.#append(request.params['stream'] as string, request, response) })
      application.get('/streams/:stream', (request, response) => { void this.#read(request.params['stream'] as string, request, response) })
      application.put('/control', async (request, response) => {
        this.setFaults(await jsonOf(request) as Partial<LogFaults>)
        answerJson(response, this.#faults)
      })
      application.get('/control', (_request, response) => {
        answerJson(response, { ...this.#faults, appends: this.appends, refused: this.refused })
      })
    })
  }

  setFaults (faults: Partial<LogFaults>): void {
    this.#faults = { ...this.#faults, ...faults }
  }

  entries (stream: string): ReadonlyArray<{ readonly offset: number, readonly data: Buffer }> {
    return this.#streamOf(stream).read(0, Infinity, Infinity)
  }

  async close (): Promise<void> {
    for (const stream of this.#streams.values()) {
      stream.close()
    }
    await this.#standIn?.close()
  }

  async #append (name: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const data = await bodyOf(request)
    await this.#delay()
    if (this.#faults.outage) {
      answerJson(response, { error: 'outage' }, 503)
      return
    }
    if (data.byteLength > this.options.entryBytes) {
      answerJson(response, { error: 'too large' }, 413)
      return
    }
    if (!this.#takeAllowance()) {
      this.refused += 1
      answerJson(response, { error: 'rate' }, 429)
      return
    }
    this.appends += 1
    const offset = this.#streamOf(name).append(data)
    if (this.#faults.loseAnswers > 0) {
      this.#faults = { ...this.#faults, loseAnswers: this.#faults.loseAnswers - 1 }
      response.destroy()
      return
    }
    answerJson(response, { offset })
  }

  async #read (name: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    await this.#delay()
    if (this.#faults.outage) {
      answerJson(response, { error: 'outage' }, 503)
      return
    }
    const query = queryOf(request)
    const from = Number(query.get('from') ?? 0)
    const limit = Number(query.get('limit') ?? 100)
    const stream = this.#streamOf(name)
    await stream.waitBeyond(from, Number(query.get('wait') ?? 0), response)
    if (this.#faults.outage) {
      answerJson(response, { error: 'outage' }, 503)
      return
    }
    const records = stream.read(from, limit, greatestPageBytes).map(entry => ({
      offset: entry.offset,
      time: entry.time,
      data: entry.data.toString('base64')
    }))
    answerJson(response, { first: stream.first, next: stream.next, records })
  }

  #streamOf (name: string): LogStream {
    let stream = this.#streams.get(name)
    if (stream === undefined) {
      stream = new LogStream(this.options.retentionMilliseconds)
      this.#streams.set(name, stream)
    }
    return stream
  }

  #takeAllowance (): boolean {
    const now = Date.now()
    const earned = (now - this.#allowanceAt) / millisecondsPerSecond * this.options.appendsPerSecond
    this.#allowance = Math.min(this.options.appendsPerSecond, this.#allowance + earned)
    this.#allowanceAt = now
    if (this.#allowance < 1) {
      return false
    }
    this.#allowance -= 1
    return true
  }

  async #delay (): Promise<void> {
    const { delayMilliseconds } = this.#faults
    if (delayMilliseconds > 0) {
      await new Promise(resolve => { setTimeout(resolve, delayMilliseconds) })
    }
  }
}
