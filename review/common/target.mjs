/** Small stand-in for a replica: answers each request with a stream of events that can be resumed, and writes down what it ran. */
import { createServer } from 'node:http'
import { sleep, service } from './fleet.mjs'

export class Target {
  /** Requests that it has begun to work on. */
  runs = []
  /** Number of requests that it is working on. */
  working = 0
  #sequence = 0
  #born = Date.now()

  /**
   * @param isFramed whether answers come in chunks; otherwise they have no length and end with their connection
   * @param answersOtherwise called before a request is run; returns true if it has answered itself
   */
  constructor (id, { events, gapMilliseconds, slots = 8, isFramed = true, record, answersOtherwise = () => false }) {
    Object.assign(this, { id, events, gapMilliseconds, slots, isFramed, record, answersOtherwise })
    this.server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.server.keepAliveTimeout = 30_000
  }

  async start () {
    await new Promise(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    return this
  }

  entry () {
    this.#sequence += 1
    return { service, address: `127.0.0.1:${this.server.address().port}`, zone: 'a', version: 'v1', slots: this.slots, state: 'ready', cold_remaining_ms: 0, sequence: this.#sequence, born: this.#born }
  }

  event (id, number) {
    return `id: ${number}\ndata: piece ${number} of ${id}\n\n`
  }

  /** The data of all events of a request, as the result of an item has it. */
  text (id) {
    return Array.from({ length: this.events }, (_, index) => `piece ${index + 1} of ${id}`).join('\n')
  }

  headers (id) {
    return { 'X-Request-Id': id, 'X-Server-Signature': `${this.id}.${id}` }
  }

  async close () {
    this.server.closeAllConnections()
    await new Promise(resolve => { this.server.close(resolve) })
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) {
      chunks.push(chunk)
    }
    const id = String(request.headers['x-request-id'] ?? '')
    const path = request.url
    if (request.headers['x-expected-instance'] !== undefined && request.headers['x-expected-instance'] !== this.id) {
      response.writeHead(421, { ...this.headers(id), 'X-Not-Executed': '1', 'Content-Length': '0' }).end()
      return
    }
    if (this.answersOtherwise({ id, path, request, response, target: this })) {
      return
    }
    const after = Number(request.headers['last-event-id'] ?? 0)
    const run = { id, path, at: Date.now(), after, isDropped: false, isComplete: false }
    this.runs.push(run)
    this.working += 1
    this.record.line(`${this.id}: runs ${id} after event ${after}`)
    response.once('close', () => {
      this.working -= 1
      run.isDropped = !run.isComplete
      this.record.line(`${this.id}: ${run.isComplete ? 'has completed' : 'has dropped, as the connection was closed,'} ${id}`)
    })
    if (!this.isFramed) {
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
    }
    response.writeHead(200, { ...this.headers(id), 'Content-Type': 'text/event-stream' })
    for (let number = after + 1; number <= this.events && !response.destroyed; number += 1) {
      response.write(this.event(id, number))
      await sleep(this.gapMilliseconds)
    }
    if (!response.destroyed) {
      run.isComplete = true
      response.end()
    }
  }
}
