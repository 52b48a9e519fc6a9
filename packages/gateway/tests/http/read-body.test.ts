/** Guards against bodies that are changed, held after their end or waited for without end, and against refusals that a client cannot read. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { HeldKind, RoomDecision } from '@arbutusloft/policy'
import { BodyRefusedError, BodyTimeoutError, BodyTooLargeError, readBody } from '../../src/http/read-body.js'
import type { HeldBytes } from '../../src/index.js'
import { replyUnread, sleep, Status } from '../../src/index.js'
import { createHeldBytes } from '../util/test-held-bytes.js'

const limit = 4_194_304
const budgetBytes = 8_388_608
const timeoutMilliseconds = 300
const waitMilliseconds = 100
const pollMilliseconds = 10

let server: Server | null = null
const sockets: Socket[] = []

afterEach(() => {
  sockets.splice(0).forEach(socket => { socket.destroy() })
  server?.closeAllConnections()
  server?.close()
})

/** Starts a server that echoes the length and the first and last byte of each body, and returns its port. */
async function start (held: HeldBytes, timeout = 10_000): Promise<number> {
  server = createServer((request, response) => {
    readBody(request, limit, held, timeout).then(body => {
      const { bytes } = body
      response.end(`${bytes.length} ${bytes.at(0)} ${bytes.at(-1)}`)
      body.close()
    }, (error: unknown) => {
      if (error instanceof BodyTooLargeError) {
        replyUnread(request, response, Status.ContentTooLarge, { error: error.message })
      } else if (error instanceof BodyTimeoutError) {
        replyUnread(request, response, Status.RequestTimeout, { error: error.message })
      } else if (error instanceof BodyRefusedError) {
        replyUnread(request, response, Status.ServiceUnavailable, { error: error.message })
      }
    })
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  return (server.address() as AddressInfo).port
}

/** Sends bytes and returns what comes back until the connection is closed, or until `isEnough` holds. */
async function exchange (port: number, parts: readonly Buffer[], isEnough: (text: string) => boolean = () => false): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  sockets.push(socket)
  let text = ''
  return await new Promise((resolve, reject) => {
    socket.on('data', data => {
      text += data.toString('latin1')
      if (isEnough(text)) {
        resolve(text)
      }
    })
    socket.on('error', reject)
    socket.on('close', () => { resolve(text) })
    parts.forEach(part => { socket.write(part) })
  })
}

const lengthHead = (length: number): Buffer => Buffer.from(`POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${length}\r\n\r\n`)
const chunkedHead = Buffer.from('POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n')
const isWhole = (text: string): boolean => text.includes('\r\n\r\n') && /\d+ \d+ \d+/.test(text.slice(text.indexOf('\r\n\r\n')))

function bodyOf (length: number): Buffer {
  const body = Buffer.alloc(length, 'x')
  body.write('a', 0)
  body.write('z', length - 1)
  return body
}

describe('a request body', () => {
  for (const length of [2, 1_500, 65_536, 65_537, 1_000_000, limit]) {
    it(`of ${length} bytes arrives as it was sent, and is not held afterwards`, async () => {
      const held = createHeldBytes(budgetBytes)
      const port = await start(held)
      assert.match(await exchange(port, [lengthHead(length), bodyOf(length)], isWhole), new RegExp(`${length} 97 122$`))
      assert.equal(held.budget.held, 0)
    })
  }

  it('in chunks of one byte arrives as it was sent', async () => {
    const held = createHeldBytes(budgetBytes)
    const port = await start(held)
    const chunks = [...bodyOf(70_000).toString('latin1')].map(byte => `1\r\n${byte}\r\n`).join('')
    assert.match(await exchange(port, [chunkedHead, Buffer.from(chunks), Buffer.from('0\r\n\r\n')], isWhole), /70000 97 122\r?\n?/)
    assert.equal(held.budget.held, 0)
  })

  it('that does not fit into the memory is refused, and a client that sends all of it first can read why', async () => {
    const held = createHeldBytes(1_000_000)
    const port = await start(held)
    const answer = await exchange(port, [lengthHead(limit), bodyOf(limit)])
    assert.match(answer, /^HTTP\/1\.1 503 [^]*no memory/)
    assert.equal(held.budget.held, 0)
  })

  it('that is announced over the limit is refused at once, and the client can read why', async () => {
    const held = createHeldBytes(budgetBytes)
    const port = await start(held)
    assert.match(await exchange(port, [lengthHead(limit + 1), bodyOf(1_000_000)]), /^HTTP\/1\.1 413 /)
  })

  it('of a HEAD request that does not fit is answered as well, whose answer has no body', async () => {
    const held = createHeldBytes(budgetBytes)
    const port = await start(held)
    const head = Buffer.from(lengthHead(limit + 1).toString('latin1').replace('POST', 'HEAD'))
    assert.match(await exchange(port, [head, bodyOf(1_000_000)]), /^HTTP\/1\.1 413 [^]*\r\n\r\n$/)
  })

  it('that does not arrive in time is answered with 408', async () => {
    const held = createHeldBytes(budgetBytes)
    const port = await start(held, timeoutMilliseconds)
    assert.match(await exchange(port, [lengthHead(100_000), bodyOf(99_999)]), /^HTTP\/1\.1 408 /)
    assert.equal(held.budget.held, 0)
  })

  it('waits for room while a request that runs holds it, and then arrives as it was sent', async () => {
    const held = createHeldBytes(budgetBytes)
    const running = held.open(HeldKind.Request)
    assert.equal(running.grow(limit), RoomDecision.Granted)
    const port = await start(held)
    let isAnswered = false
    const answer = exchange(port, [lengthHead(limit), bodyOf(limit)], isWhole)
    void answer.then(() => { isAnswered = true })
    await sleep(waitMilliseconds)
    assert.equal(isAnswered, false)
    running.close()
    assert.match(await answer, new RegExp(`${limit} 97 122$`))
    assert.equal(held.budget.held, 0)
  })

  it('whose connection is reset is no longer held', async () => {
    const held = createHeldBytes(budgetBytes)
    const port = await start(held)
    void exchange(port, [lengthHead(limit), bodyOf(1_000_000)]).catch(() => { /* The test resets it. */ })
    while (held.budget.held < 1_000_000) {
      await sleep(pollMilliseconds)
    }
    sockets.forEach(socket => { socket.resetAndDestroy() })
    while (held.budget.held > 0) {
      await sleep(pollMilliseconds)
    }
  })
})
