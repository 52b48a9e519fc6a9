/**
 * Prints in how many of 100 calls a caller's library takes an answer that its server broke off half way for a complete one, by the way
 * in which the answer ends, by library and by load of the caller: `npx tsc -b && node packages/gateway/dist/tests/measure/caller-views.js`.
 * The last bytes follow the first ones after 0 ms to `--spread` ms, so that they arrive at any time of a block of the caller's event loop.
 */
import { once } from 'node:events'
import type { EventEmitter } from 'node:events'
import http from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { isMainThread, parentPort, Worker } from 'node:worker_threads'
import PQueue from 'p-queue'
import { Agent, request } from 'undici'

const Framing = { None: 'no framing', Chunks: 'chunks without the last one', Length: 'Content-Length not reached' } as const
type Framing = typeof Framing[keyof typeof Framing]

const ConnectionEnd = { Close: 'orderly close', Reset: 'reset' } as const
type ConnectionEnd = typeof ConnectionEnd[keyof typeof ConnectionEnd]

/** A way in which the server breaks an answer off. */
interface Way {
  readonly framing: Framing
  readonly end: ConnectionEnd
  /** Time from the last bytes to the end of the connection. */
  readonly delayMilliseconds: number
  /** Whether the answer is an event stream, whose bytes end inside an event. */
  readonly isStream: boolean
}

/** What a caller's library tells of an answer. */
interface View {
  readonly isComplete: boolean
  /** What the library says of the end, by its own names. */
  readonly signals: string
  readonly body: string
}

type Call = (url: string) => Promise<View>

const ways: readonly Way[] = [
  { framing: Framing.None, end: ConnectionEnd.Close, delayMilliseconds: 0, isStream: false },
  { framing: Framing.None, end: ConnectionEnd.Reset, delayMilliseconds: 0, isStream: false },
  { framing: Framing.None, end: ConnectionEnd.Reset, delayMilliseconds: 100, isStream: false },
  { framing: Framing.None, end: ConnectionEnd.Reset, delayMilliseconds: 1_000, isStream: false },
  { framing: Framing.Chunks, end: ConnectionEnd.Close, delayMilliseconds: 0, isStream: false },
  { framing: Framing.Chunks, end: ConnectionEnd.Reset, delayMilliseconds: 0, isStream: false },
  { framing: Framing.Length, end: ConnectionEnd.Reset, delayMilliseconds: 0, isStream: false },
  { framing: Framing.None, end: ConnectionEnd.Reset, delayMilliseconds: 100, isStream: true }
]
/** The two parts of an answer. */
const plainParts: readonly string[] = ['{"first":1,', '"second":2,']
const streamParts: readonly string[] = ['data: first\n\n', 'data: second\n\ndata: thi']
const emptyLine = '\n\n'

/** For how long the caller's event loop is blocked at a time; 0 for an idle caller. */
const blockMilliseconds: readonly number[] = [0, 10, 50, 150, 400]
const pauseMilliseconds = 1
const callsPerCell = 100
const concurrentCalls = 20

const { values } = parseArgs({ options: { spread: { type: 'string', default: '400' } } })
const spreadMilliseconds = Number(values.spread)

if (isMainThread) {
  await measure()
} else {
  // The server has a thread of its own, which the caller's load does not block.
  await serve()
}

async function serve (): Promise<void> {
  const server = createServer({ noDelay: true }, socket => {
    socket.on('error', () => { /* The caller has ended the connection first. */ })
    socket.once('data', (head: Buffer) => { void breakOff(socket, head.toString('latin1')) })
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  parentPort?.postMessage((server.address() as AddressInfo).port)
}

/** Answers a request for `/<number of the way>/<milliseconds between the parts>`. */
async function breakOff (socket: Socket, head: string): Promise<void> {
  const [, number, partsMilliseconds] = head.split(' ')[1].split('/').map(Number)
  const { framing, end, delayMilliseconds, isStream } = ways[number]
  const [first, last] = isStream ? streamParts : plainParts
  const type = isStream ? 'text/event-stream' : 'application/json'
  socket.write(`HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\n${framingHeader(framing, 2 * (first + last).length)}\r\n${encode(framing, first)}`)
  if (partsMilliseconds > 0) {
    await sleep(partsMilliseconds)
  }
  await new Promise(resolve => { socket.write(encode(framing, last), resolve) })
  if (delayMilliseconds > 0) {
    await sleep(delayMilliseconds)
  }
  if (end === ConnectionEnd.Reset) {
    socket.resetAndDestroy()
  } else {
    socket.end()
  }
}

function framingHeader (framing: Framing, length: number): string {
  switch (framing) {
    case Framing.None:
      return 'Connection: close\r\n'
    case Framing.Chunks:
      return 'Transfer-Encoding: chunked\r\n'
    case Framing.Length:
      return `Content-Length: ${length}\r\n`
  }
}

function encode (framing: Framing, part: string): string {
  return framing === Framing.Chunks ? `${part.length.toString(16)}\r\n${part}\r\n` : part
}

async function measure (): Promise<void> {
  const worker = new Worker(new URL(import.meta.url))
  const [port] = await once(worker, 'message') as [number]
  const agent = new Agent()
  const libraries: Readonly<Record<string, Call>> = { 'node:http': callWithHttp, undici: url => callWithUndici(agent, url) }
  const signalRows: string[] = []
  printRow(['way', 'library', ...blockMilliseconds.map(milliseconds => milliseconds === 0 ? 'idle' : `blocked ${milliseconds} ms`)])
  printRow(['---', '---', ...blockMilliseconds.map(() => '---:')])
  for (const [number, way] of ways.entries()) {
    for (const [library, call] of Object.entries(libraries)) {
      const cells: View[][] = []
      for (const milliseconds of blockMilliseconds) {
        cells.push(await viewsOf(call, `http://127.0.0.1:${port}/${number}`, milliseconds))
      }
      printRow([nameOf(way), library, ...cells.map(views => String(views.filter(view => takesForComplete(view, way)).length))])
      signalRows.push(`${nameOf(way)} | ${library} | ${countSignals(cells.flat())}`)
    }
  }
  process.stdout.write('\n')
  printRow(['way', 'library', 'what the library says, in calls of all loads'])
  printRow(['---', '---', '---'])
  signalRows.forEach(row => { printRow([row]) })
  await agent.close()
  await worker.terminate()
}

/** Makes the calls of one cell beside a blocked event loop. */
async function viewsOf (call: Call, url: string, milliseconds: number): Promise<View[]> {
  const unblock = blockEventLoop(milliseconds)
  const queue = new PQueue({ concurrency: concurrentCalls })
  const calls = Array.from({ length: callsPerCell }, (_, number) => {
    const partsMilliseconds = Math.round(spreadMilliseconds * number / callsPerCell)
    return queue.add(() => call(`${url}/${partsMilliseconds}`), { throwOnTimeout: true })
  })
  const views = await Promise.all(calls)
  unblock()
  return views
}

/** Blocks the event loop for this many milliseconds at a time until the returned function is called. */
function blockEventLoop (milliseconds: number): () => void {
  if (milliseconds === 0) {
    return () => { /* An idle caller is not blocked. */ }
  }
  const sleeper = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
  let timer = setTimeout(block, pauseMilliseconds)
  function block (): void {
    // Waiting blocks the event loop as work does, and leaves the processor to the server.
    Atomics.wait(sleeper, 0, 0, milliseconds)
    timer = setTimeout(block, pauseMilliseconds)
  }
  return () => { clearTimeout(timer) }
}

async function callWithHttp (url: string): Promise<View> {
  const signals = new Set<string>()
  const call = http.request(url, { agent: false })
  call.on('error', () => { signals.add('request error') })
  const callClosed = closed(call)
  const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
    call.once('response', resolve).once('error', reject).end()
  })
  response.on('end', () => { signals.add('end') })
  response.on('aborted', () => { signals.add('aborted') })
  response.on('error', () => { signals.add('response error') })
  let body = ''
  response.setEncoding('utf8').on('data', (text: string) => { body += text })
  await Promise.all([callClosed, closed(response)])
  const isComplete = response.complete && signals.has('end') && signals.size === 1
  return { isComplete, signals: [`complete ${response.complete}`, ...[...signals].sort()].join(', '), body }
}

function closed (emitter: EventEmitter): Promise<void> {
  return new Promise(resolve => { emitter.once('close', resolve) })
}

async function callWithUndici (agent: Agent, url: string): Promise<View> {
  try {
    const { body } = await request(url, { dispatcher: agent })
    return { isComplete: true, body: await body.text(), signals: 'read to its end' }
  } catch (error) {
    return { isComplete: false, body: '', signals: String(error) }
  }
}

function takesForComplete (view: View, way: Way): boolean {
  return view.isComplete && (!way.isStream || view.body.endsWith(emptyLine))
}

function nameOf ({ framing, end, delayMilliseconds, isStream }: Way): string {
  const delay = delayMilliseconds === 0 ? 'at once' : `after ${delayMilliseconds} ms`
  return `${isStream ? 'stream inside an event, ' : ''}${framing}, ${end} ${delay}`
}

function countSignals (views: readonly View[]): string {
  const counts = new Map<string, number>()
  views.forEach(({ signals }) => { counts.set(signals, (counts.get(signals) ?? 0) + 1) })
  return [...counts].map(([signals, count]) => `${count}: ${signals}`).join('; ')
}

function printRow (columns: readonly string[]): void {
  process.stdout.write(`| ${columns.join(' | ')} |\n`)
}
