/** Guards against vouching for an answer whose target has ended: such a target refuses connections, or closes them at once. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { MessageChannel, Worker } from 'node:worker_threads'
import { connectDirectly } from '../../src/targets/direct-transport.js'
import { isListening as isListeningBy } from '../../src/targets/listening-check.js'

async function isListening (address: string): Promise<boolean> {
  return await isListeningBy(listener => connectDirectly(address, listener))
}

async function listen (context: TestContext, onConnection: (socket: Socket, server: Server) => void): Promise<string> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    onConnection(socket, server)
  })
  context.after(() => {
    sockets.forEach(socket => { socket.destroy() })
    server.close()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Longer than the time for which the connection has to stay open. */
const pauseMilliseconds = 60
/** Runs in a thread of its own, so that it closes connections during a pause of the main thread. */
const closingServer = `
  const { createServer } = require('node:net')
  const { workerData } = require('node:worker_threads')
  const server = createServer(socket => { setTimeout(() => { socket.destroy() }, 5) })
  server.listen(0, '127.0.0.1', () => { workerData.postMessage(server.address().port) })
`

describe('isListening', () => {
  it('is true for a process that keeps connections open', async context => {
    assert.equal(await isListening(await listen(context, () => {})), true)
  })

  it('is false for a process that closes or resets them at once, as a proxy of one that has ended does', async context => {
    assert.equal(await isListening(await listen(context, socket => { socket.end() })), false)
    assert.equal(await isListening(await listen(context, socket => { socket.resetAndDestroy() })), false)
    assert.equal(await isListening(await listen(context, (socket, server) => {
      server.close()
      setTimeout(() => { socket.destroy() }, 5)
    })), false)
  })

  it('is false for a process that closes them while this one stands still', async context => {
    const { port1, port2 } = new MessageChannel()
    context.after(() => { port1.close() })
    const closer = new Worker(closingServer, { eval: true, transferList: [port2], workerData: port2 })
    context.after(async () => { await closer.terminate() })
    const [port] = await once(port1, 'message') as [number]
    const isOpen = await isListeningBy(listener => connectDirectly(`127.0.0.1:${port}`, {
      ...listener,
      onConnected: transport => {
        listener.onConnected(transport)
        setImmediate(() => {
          const end = Date.now() + pauseMilliseconds
          while (Date.now() < end);
        })
      }
    }))
    assert.equal(isOpen, false)
  })

  it('is false where nobody listens', async () => {
    assert.equal(await isListening('127.0.0.1:1'), false)
  })
})
