/** Stand-in for the platform's log service: append-only streams over HTTP, with faults that tests can inject. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { parseQuery, readBody, readJson, sendJson, serve } from '../util/serve.js'
import type { StandIn } from '../util/stand-in.js'
import { LogStream } from './log-stream.js'

/** Options of {@link startLogStandIn}. */
export interface LogStandInOptions {
  readonly port?: number
  /** Maximum rate of appends per second, over all streams together. */
  readonly appendsPerSecond?: number
  /** Maximum size of an entry, in bytes. */
  readonly entryBytes?: number
  /** Time for which entries are retained, in milliseconds. */
  readonly retentionMilliseconds?: number
}

/** Faults that can be injected. */
export interface LogFaults {
  /** Whether every append and read is rejected with status 503; nothing is appended. */
  readonly outage: boolean
  /** Delay before an append or read is processed, in milliseconds. */
  readonly delayMilliseconds: number
  /** Number of the next appends that are stored but whose connection is closed without a response. */
  readonly loseAnswers: number
}

/** A running log stand-in. */
export interface LogStandIn extends StandIn {
  /** Sets the given faults and leaves the others unchanged. */
  setFaults: (faults: Partial<LogFaults>) => void
  /** Number of entries appended since the start. */
  readonly appends: number
  /** Number of appends rejected by the rate limit since the start. */
  readonly refused: number
  /** Returns all retained entries of a stream. */
  entries: (stream: string) => ReadonlyArray<{ readonly offset: number, readonly data: Buffer }>
}

const defaults: Required<LogStandInOptions> = {
  port: 0,
  appendsPerSecond: 400,
  entryBytes: 1_048_576,
  retentionMilliseconds: 3_600_000
}

const millisecondsPerSecond = 1_000
const maximumPageBytes = 4_194_304

/** Starts a log stand-in; `port` 0, the default, binds a free port. */
export async function startLogStandIn (options: LogStandInOptions = {}): Promise<LogStandIn> {
  const log = new LogServer({ ...defaults, ...options })
  await log.start()
  return log
}

class LogServer implements LogStandIn {
  readonly #streams = new Map<string, LogStream>()
  #faults: LogFaults = { outage: false, delayMilliseconds: 0, loseAnswers: 0 }
  #standIn: StandIn | null = null
  #availableAppends: number
  #refilledAt = Date.now()
  appends = 0
  refused = 0

  constructor (private readonly options: Required<LogStandInOptions>) {
    this.#availableAppends = options.appendsPerSecond
  }

  get address (): string {
    return this.#standIn?.address ?? ''
  }

  async start (): Promise<void> {
    this.#standIn = await serve(this.options.port, application => {
      application.post('/streams/:stream', (request, response) => { void this.#append(request.params['stream'] as string, request, response) })
      application.get('/streams/:stream', (request, response) => { void this.#read(request.params['stream'] as string, request, response) })
      application.put('/control', async (request, response) => {
        this.setFaults(await readJson(request) as Partial<LogFaults>)
        sendJson(response, this.#faults)
      })
      application.get('/control', (_request, response) => {
        sendJson(response, { ...this.#faults, appends: this.appends, refused: this.refused })
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
    const data = await readBody(request)
    await this.#delay()
    if (this.#faults.outage) {
      sendJson(response, { error: 'outage' }, 503)
      return
    }
    if (data.byteLength > this.options.entryBytes) {
      sendJson(response, { error: 'too large' }, 413)
      return
    }
    if (!this.#takeAppendToken()) {
      this.refused += 1
      sendJson(response, { error: 'rate' }, 429)
      return
    }
    this.appends += 1
    const offset = this.#streamOf(name).append(data)
    if (this.#faults.loseAnswers > 0) {
      this.#faults = { ...this.#faults, loseAnswers: this.#faults.loseAnswers - 1 }
      response.destroy()
      return
    }
    sendJson(response, { offset })
  }

  async #read (name: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    await this.#delay()
    if (this.#faults.outage) {
      sendJson(response, { error: 'outage' }, 503)
      return
    }
    const query = parseQuery(request)
    const from = Number(query.get('from') ?? 0)
    const limit = Number(query.get('limit') ?? 100)
    const stream = this.#streamOf(name)
    await stream.waitForOffset(from, Number(query.get('wait') ?? 0), response)
    if (this.#faults.outage) {
      sendJson(response, { error: 'outage' }, 503)
      return
    }
    const records = stream.read(from, limit, maximumPageBytes).map(entry => ({
      offset: entry.offset,
      time: entry.time,
      data: entry.data.toString('base64')
    }))
    sendJson(response, { first: stream.firstOffset, next: stream.nextOffset, records })
  }

  #streamOf (name: string): LogStream {
    let stream = this.#streams.get(name)
    if (stream === undefined) {
      stream = new LogStream(this.options.retentionMilliseconds)
      this.#streams.set(name, stream)
    }
    return stream
  }

  /** Takes a token from the bucket of the append rate limit, which holds one second of appends; returns false if it is empty. */
  #takeAppendToken (): boolean {
    const now = Date.now()
    const refill = (now - this.#refilledAt) / millisecondsPerSecond * this.options.appendsPerSecond
    this.#availableAppends = Math.min(this.options.appendsPerSecond, this.#availableAppends + refill)
    this.#refilledAt = now
    if (this.#availableAppends < 1) {
      return false
    }
    this.#availableAppends -= 1
    return true
  }

  async #delay (): Promise<void> {
    const { delayMilliseconds } = this.#faults
    if (delayMilliseconds > 0) {
      await new Promise(resolve => { setTimeout(resolve, delayMilliseconds) })
    }
  }
}
