/** Runs online requests from raw callers to scripted targets: what a caller sees on its connection, for each way in which a target's answer can end. */
import { once } from 'node:events'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { DrainAdmission, RefusalReason } from '@arbutusloft/policy'
import type { Route, SlotOutcome } from '@arbutusloft/policy'
import { OnlineRun } from '../../src/online/online-run.js'
import { CallerBudgets } from '../../src/online/caller-budgets.js'
import { createOnlineRequest, GatewayMetrics, readBody, sleep, TargetConnections } from '../../src/index.js'
import type { HeaderNames, SlotClient } from '../../src/index.js'
import type { SlotDemand } from '../../src/permits/slot.js'
import { watchReset } from './reset-watch.js'
import { createHeldBytes } from './test-held-bytes.js'
import { createTestLogger } from './test-logger.js'

const names: HeaderNames = { requestId: 'x-request-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notExecuted: 'x-not-executed', targetLeaving: 'x-leaving', rateLimit: 'x-rate-limit', promptPrefix: 'x-prefix', resumes: 'x-resumes', wait: 'x-wait' }
const loopback = '127.0.0.1'
const maximumBodyBytes = 1_000_000
/** Time between an answer's bytes and a reset, so that this does not discard them. */
const resetDelayMilliseconds = 15

/** How a target ends the connection after the bytes of its answer. */
export const ConnectionEnd = {
  Close: 'close',
  Reset: 'reset',
  /** The target no longer accepts connections, and its connection is closed in order, as the operating system does for a killed process. */
  Crash: 'crash',
  /** The connection stays open. */
  None: 'none'
} as const
export type ConnectionEnd = typeof ConnectionEnd[keyof typeof ConnectionEnd]

/** Bytes that a target sends after a pause. */
export interface LaterBytes {
  readonly bytes: string
  readonly afterMilliseconds: number
  /** Called as soon as the bytes were sent. */
  readonly onSent?: () => void
}

/** Bytes that a target sends for a request, as Latin-1, and how its connection ends. */
export interface ScriptedAnswer {
  readonly bytes: string
  readonly end: ConnectionEnd
  /** Bytes that follow after a pause; none by default. */
  readonly later?: LaterBytes
}

/** What a caller can tell of its answer. */
export const CallerView = {
  /** The framing says that the answer is complete. */
  Complete: 'complete',
  /** The answer has no framing and its connection was closed in order. */
  Closed: 'closed',
  /** The connection ended before the framing says that the answer is complete, or was reset. */
  Broken: 'broken'
} as const
export type CallerView = typeof CallerView[keyof typeof CallerView]

/** An answer as its caller received it. */
export interface CallerAnswer {
  readonly status: number
  readonly body: string
  readonly view: CallerView
}

/** Headers of a caller's connection; each stands for a kind of caller. */
export const CallerKind = {
  KeepAlive: 'HTTP/1.1',
  Close: 'HTTP/1.1\r\nConnection: close',
  Old: 'HTTP/1.0'
} as const
export type CallerKind = typeof CallerKind[keyof typeof CallerKind]

/** A caller's request; each option has a default. */
export interface CallOptions {
  readonly method?: string
  /** Value of the request id header. */
  readonly id?: string
  /** Time for which the caller says that it waits. */
  readonly deadlineMilliseconds?: number
  /** Value of the header with the id of the event that the caller has; none by default. */
  readonly lastEventId?: string
}

/** Options of {@link OnlineHarness}; each one has a default. */
export interface OnlineHarnessOptions {
  /** `ip:port` of targets of the test that the first attempts go to, in order. */
  readonly firstTargets?: readonly string[]
  /** Time from the arrival of a request's body to the run of the request. */
  readonly preparationMilliseconds?: number
  /** Whether requests wait for a slot until they are ended. */
  readonly hasNoSlots?: boolean
  /** Time for which requests wait for each slot; none by default. */
  readonly slotWaitMilliseconds?: number
  /** Times for which the first requests for a slot wait, in order, in place of that; none by default. */
  readonly slotWaitsMilliseconds?: readonly number[]
  /** Whether all attempts go to the same target, and so may use the same connections. */
  readonly hasOneTarget?: boolean
  /** Whether a slot may be used for a further request while an answer to that is left; true by default. */
  readonly canRunAgain?: boolean
  /** Connections to the targets; they are closed with the harness. */
  readonly connections?: TargetConnections
}

/** Serves requests of one route from targets that answer by a script. */
export class OnlineHarness {
  readonly outcomes: SlotOutcome[] = []
  /** What each answer of a target said about its rate limit, as far as that was told. */
  readonly rateLimits: Array<number | null> = []
  /** What was asked for in each request for a slot. */
  readonly demands: SlotDemand[] = []
  /** Text of each request at a target. */
  readonly arrivals: string[] = []
  readonly logLines: string[] = []
  readonly drainAdmission = new DrainAdmission()
  /** Aborted to end all requests, as an instance does that stops. */
  readonly ending = new AbortController()
  /** Called with the error that ends a run; if it is null, the error is not handled. */
  onError: ((error: Error) => void) | null = null
  readonly #sockets = new Set<Socket>()
  readonly #servers: Server[] = []
  #connectionsToTargets = 0
  #nextTarget = 0

  private constructor (
    private readonly route: Route,
    private readonly answers: ScriptedAnswer[],
    private readonly firstTargets: string[],
    private readonly hasNoSlots: boolean,
    private readonly slotWaitMilliseconds: number,
    private readonly slotWaitsMilliseconds: number[],
    private readonly hasOneTarget: boolean,
    private readonly canRunAgain: boolean,
    private readonly targetConnections: TargetConnections
  ) {}

  /** @param answers one for each attempt, in order */
  static async start (route: Route, answers: readonly ScriptedAnswer[], options: OnlineHarnessOptions = {}): Promise<OnlineHarness> {
    const { firstTargets = [], preparationMilliseconds = 0, hasNoSlots = false, slotWaitMilliseconds = 0, slotWaitsMilliseconds = [], hasOneTarget = false, canRunAgain = true, connections = new TargetConnections() } = options
    const harness = new OnlineHarness(route, [...answers], [...firstTargets], hasNoSlots, slotWaitMilliseconds, [...slotWaitsMilliseconds], hasOneTarget, canRunAgain, connections)
    await harness.#listen(createServer(socket => { harness.#serveAsTarget(socket) }))
    await harness.#listen(createHttpServer((request, response) => {
      void readBody(request, maximumBodyBytes, createHeldBytes()).then(async body => {
        const online = createOnlineRequest(request, body.bytes, route, 's', names, new CallerBudgets(), Date.now())
        await sleep(preparationMilliseconds)
        await new OnlineRun({
          slots: harness.#slots(),
          connections: harness.targetConnections,
          origins: { record: () => {}, ask: async () => null },
          isSoleService: () => true,
          drainAdmission: harness.drainAdmission,
          ending: harness.ending.signal,
          names,
          metrics: new GatewayMetrics(),
          logger: createTestLogger(harness.logLines)
        }, online, response).run()
      }).catch((error: unknown) => {
        if (harness.onError === null || !(error instanceof Error)) {
          throw error
        }
        harness.onError(error)
      })
    }))
    return harness
  }

  /** Number of connections that carried a request to a target. */
  get connections (): number {
    return this.#connectionsToTargets
  }

  /** Adds the answer to one more attempt; there is a slot for it from now on. */
  addAnswer (answer: ScriptedAnswer): void {
    this.answers.push(answer)
  }

  /** Sends a request as a caller of this kind and returns what it can tell of the answer when that or the connection has ended. */
  async call (kind: CallerKind, { method = 'POST', id = 'id', deadlineMilliseconds = 2_000, lastEventId }: CallOptions = {}): Promise<CallerAnswer> {
    const { port } = this.#servers[1]?.address() as AddressInfo
    const socket = connect(port, loopback)
    socket.write(`${method} ${this.route.prefix}x ${kind}\r\nHost: h\r\nX-Request-Id: ${id}\r\nX-Deadline: ${deadlineMilliseconds}\r\n${lastEventId === undefined ? '' : `Last-Event-Id: ${lastEventId}\r\n`}Content-Length: 2\r\n\r\nhi`)
    let text = ''
    let isReset = false
    watchReset(socket, () => { isReset = true })
    socket.setEncoding('latin1')
    return await new Promise(resolve => {
      const settle = (view: CallerView): void => {
        socket.destroy()
        const { status, body } = parseAnswer(text, method)
        resolve({ status, body, view })
      }
      socket.on('data', (data: string) => {
        text += data
        if (parseAnswer(text, method).isComplete) {
          settle(CallerView.Complete)
        }
      })
      socket.on('close', () => { settle(parseAnswer(text, method).isFramed || isReset ? CallerView.Broken : CallerView.Closed) })
    })
  }

  /** Sends a request and disconnects before its run begins. */
  async callAndLeave (stayMilliseconds: number): Promise<void> {
    const { port } = this.#servers[1]?.address() as AddressInfo
    const socket = connect(port, loopback)
    socket.write(`POST ${this.route.prefix}x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\nContent-Length: 2\r\n\r\nhi`)
    await sleep(stayMilliseconds)
    socket.destroy()
  }

  close (): void {
    this.targetConnections.close()
    this.#sockets.forEach(socket => { socket.destroy() })
    this.#servers.forEach(server => { server.close() })
  }

  async #listen (server: Server): Promise<void> {
    server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.once('close', () => { this.#sockets.delete(socket) })
    })
    server.listen(0, loopback)
    await once(server, 'listening')
    this.#servers.push(server)
  }

  #serveAsTarget (socket: Socket): void {
    let isUsed = false
    socket.on('data', data => {
      if (!data.includes('X-Request-Id')) {
        // A process of another test still calls the port of a server that has ended.
        socket.destroy()
        return
      }
      this.#connectionsToTargets += isUsed ? 0 : 1
      isUsed = true
      this.arrivals.push(data.toString())
      const answer = this.answers.shift()
      if (answer === undefined) {
        socket.destroy()
        return
      }
      if (answer.end === ConnectionEnd.Crash) {
        this.#crash(socket, answer.bytes)
        return
      }
      if (answer.later === undefined) {
        sendEnd(socket, answer.bytes, answer.end)
        return
      }
      const { bytes, afterMilliseconds, onSent } = answer.later
      socket.write(answer.bytes, 'latin1')
      void sleep(afterMilliseconds).then(() => {
        // From here, timers that have expired run before sockets are read.
        setImmediate(() => {
          sendEnd(socket, bytes, answer.end)
          onSent?.()
        })
      })
    })
  }

  /** Ends the target; the next attempt finds another one, which answers by the script. */
  #crash (socket: Socket, bytes: string): void {
    const [crashed] = this.#servers
    const replacement = createServer(other => { this.#serveAsTarget(other) })
    replacement.listen(0, loopback, () => {
      this.#servers[0] = replacement
      crashed?.close()
      socket.end(bytes, 'latin1')
    })
  }

  #slots (): SlotClient {
    const acquire: SlotClient['acquire'] = async (demand, signal) => {
      this.demands.push(demand)
      if (this.hasNoSlots) {
        await once(signal, 'abort')
        return { granted: false, reason: RefusalReason.Busy, retryAfter: 0 }
      }
      const wait = this.slotWaitsMilliseconds.shift() ?? this.slotWaitMilliseconds
      if (wait > 0) {
        await sleep(wait)
      }
      const address = this.firstTargets.shift() ?? this.#scriptedAddress()
      if (address === null) {
        return { granted: false, reason: RefusalReason.Busy, retryAfter: 0 }
      }
      this.#nextTarget += 1
      const target = { id: this.hasOneTarget ? 't' : `t${this.#nextTarget}`, address, born: 1, softwareVersion: 'v1' }
      return { granted: true, slot: { permit: 'p', target, revoked: new AbortController().signal, markLeaving: () => {}, recordRateLimit: requestsPerSecond => { this.rateLimits.push(requestsPerSecond) }, markSound: () => {}, release: outcome => { this.outcomes.push(outcome) } } }
    }
    const canRunAgain: SlotClient['canRunAgain'] = () => this.canRunAgain && this.answers.length > 0
    return { acquire, canRunAgain } as unknown as SlotClient
  }

  /** Returns the address of the target that answers by the script, or null if no answer is left. */
  #scriptedAddress (): string | null {
    const { port } = this.#servers[0]?.address() as AddressInfo
    return this.answers.length === 0 ? null : `${loopback}:${port}`
  }
}

function sendEnd (socket: Socket, bytes: string, end: ConnectionEnd): void {
  if (end === ConnectionEnd.Close) {
    socket.end(bytes, 'latin1')
    return
  }
  socket.write(bytes, 'latin1')
  if (end === ConnectionEnd.Reset) {
    void sleep(resetDelayMilliseconds).then(() => { socket.resetAndDestroy() })
  }
}

interface ParsedAnswer {
  readonly status: number
  readonly body: string
  /** Whether a length or chunks say where the answer ends. */
  readonly isFramed: boolean
  readonly isComplete: boolean
}

function parseAnswer (text: string, method: string): ParsedAnswer {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd < 0) {
    return { status: 0, body: '', isFramed: true, isComplete: false }
  }
  const head = text.slice(0, headEnd)
  const rest = text.slice(headEnd + '\r\n\r\n'.length)
  const status = Number(head.split(' ')[1])
  if (method === 'HEAD') {
    return { status, body: rest, isFramed: true, isComplete: true }
  }
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1]
  if (length !== undefined) {
    return { status, body: rest, isFramed: true, isComplete: rest.length >= Number(length) }
  }
  if (/\r\ntransfer-encoding: chunked/i.test(head)) {
    return { status, isFramed: true, ...decodeChunks(rest) }
  }
  return { status, body: rest, isFramed: false, isComplete: false }
}

function decodeChunks (text: string): { readonly body: string, readonly isComplete: boolean } {
  let body = ''
  let position = 0
  for (;;) {
    const lineEnd = text.indexOf('\r\n', position)
    if (lineEnd < 0) {
      return { body, isComplete: false }
    }
    const size = Number.parseInt(text.slice(position, lineEnd), 16)
    const start = lineEnd + '\r\n'.length
    body += text.slice(start, start + size)
    if (size === 0) {
      return { body, isComplete: text.length >= start + '\r\n'.length }
    }
    position = start + size + '\r\n'.length
  }
}
