/** Tests the limits on the time of a call, against a server that sends its response in parts. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { sleep } from '../../src/index.js'
import { callBuffered, UnansweredCallError } from '../../src/util/buffered-call.js'
import type { BufferedResponse, TransferLimits } from '../../src/util/buffered-call.js'
import { Pool } from '../../src/util/undici-pool.js'

const timeoutMilliseconds = 1_000
/** Time within which a server in this process answers, also beside load. */
const heldUpTimeoutMilliseconds = 1_000
const transferLimits = { totalMilliseconds: 10_000, pauseMilliseconds: 1_000 }

/** Keeps the process from handling anything for the given time. */
function holdUp (milliseconds: number): void {
  const until = Date.now() + milliseconds
  while (Date.now() < until) { /* busy */ }
}

/** Makes a call to a server that waits before its response begins, and pauses before each of its parts. */
async function callServer (delayMilliseconds: number, pausesMilliseconds: readonly number[], transfer?: TransferLimits): Promise<BufferedResponse> {
  const server = createServer((_request, response) => {
    void (async () => {
      await sleep(delayMilliseconds)
      response.flushHeaders()
      for (const pause of pausesMilliseconds) {
        await sleep(pause)
        response.write('part')
      }
      response.end()
    })()
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  try {
    return await callBuffered(pool, { method: 'GET', path: '/', body: null, timeoutMilliseconds, ...(transfer === undefined ? {} : { transfer }) })
  } finally {
    await pool.destroy()
    server.closeAllConnections()
    server.close()
  }
}

describe('callBuffered', () => {
  it('waits for a response that goes on if it may take longer than the timeout', async () => {
    const { body } = await callServer(500, Array.from({ length: 6 }, () => 300), transferLimits)
    assert.equal(body.length, 6 * 'part'.length)
  })

  it('gives up a response that takes longer than the timeout by default', async () => {
    await assert.rejects(callServer(500, Array.from({ length: 6 }, () => 300)), UnansweredCallError)
  })

  it('gives up a response that does not begin within the timeout, or pauses for longer than that', async () => {
    await assert.rejects(callServer(2_000, [0], transferLimits), UnansweredCallError)
    await assert.rejects(callServer(0, [250, 2_000], transferLimits), UnansweredCallError)
  })

  it('gives up a response that goes on for longer than the time for transfers', async () => {
    await assert.rejects(callServer(0, Array.from({ length: 20 }, () => 250), { ...transferLimits, totalMilliseconds: 2_500 }), UnansweredCallError)
  })

  it('takes a response that has arrived in time though the process was held up until after the timeout', async context => {
    const server = createServer((_request, response) => {
      response.end('whole', () => { holdUp(2 * heldUpTimeoutMilliseconds) })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
    context.after(async () => {
      await pool.destroy()
      server.close()
    })
    const { body } = await callBuffered(pool, { method: 'GET', path: '/', body: null, timeoutMilliseconds: heldUpTimeoutMilliseconds })
    assert.equal(body.toString(), 'whole')
  })

  for (const [framing, head] of [['neither a length nor chunks', ''], ['a coding that does not show its end', 'Transfer-Encoding: gzip\r\n']] as const) {
    for (const [status, ending] of [[200, 'closed'], [200, 'reset'], [202, 'closed']] as const) {
      it(`does not take an answer for complete that has ${framing}, status ${status}, and is ${ending}`, async context => {
        const server = createTcpServer(socket => {
          socket.on('error', () => {})
          socket.once('data', () => {
            socket.write(`HTTP/1.1 ${status} S\r\n${head}\r\n{"records":[]}`, () => {
              setTimeout(() => { ending === 'reset' ? socket.resetAndDestroy() : socket.end() }, 10)
            })
          })
        })
        await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
        const pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
        context.after(async () => {
          server.close()
          await pool.destroy()
        })
        await assert.rejects(callBuffered(pool, { method: 'GET', path: '/', body: null, timeoutMilliseconds }), /neither a length nor chunks/)
      })
    }
  }
})
