/** Guards against tests that take a reset for an orderly end because their process got no time to read before it. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { Worker } from 'node:worker_threads'
import { watchReset } from './reset-watch.js'

/** Time after which the server resets, or closes in order, and for which a stalled client does not read. */
const endDelayMilliseconds = 100
const stallMilliseconds = 300
const server = `
  const { createServer } = require('node:net')
  const { parentPort, workerData } = require('node:worker_threads')
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write('first')
      setTimeout(() => { socket.write('last') }, ${endDelayMilliseconds / 2})
      setTimeout(() => { workerData === 'reset' ? socket.resetAndDestroy() : socket.end() }, ${endDelayMilliseconds})
    })
  })
  server.listen(0, '127.0.0.1', () => { parentPort.postMessage(server.address().port) })
`

describe('watchReset', () => {
  for (const end of ['reset', 'close'] as const) {
    for (const isStalled of [false, true]) {
      it(`tells a ${end} of the server for what it is if the client ${isStalled ? 'cannot read before it' : 'reads at once'}`, async () => {
        const worker = new Worker(server, { eval: true, workerData: end })
        const [port] = await once(worker, 'message') as [number]
        const socket = connect(port, '127.0.0.1')
        let text = ''
        let isReset = false
        watchReset(socket, () => { isReset = true })
        socket.setEncoding('latin1')
        socket.on('data', (data: string) => {
          text += data
          const stallUntil = Date.now() + (isStalled && text === 'first' ? stallMilliseconds : 0)
          while (Date.now() < stallUntil) { /* Another process has the processor. */ }
        })
        socket.write('x')
        await new Promise<void>(resolve => { socket.once('close', () => { resolve() }) })
        await worker.terminate()
        assert.deepEqual({ text, isReset }, { text: 'firstlast', isReset: end === 'reset' })
      })
    }
  }
})
