import { equal } from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { describe, it } from 'node:test'
import { startFaultProxy } from '../../src/proxy/fault-proxy.js'

describe('FaultProxy', () => {
  it('keeps the order of data when the delay becomes shorter', async () => {
    let received = ''
    const server = createServer(socket => { socket.on('data', data => { received += data.toString() }) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const proxy = await startFaultProxy({ target: `127.0.0.1:${(server.address() as AddressInfo).port}` })
    const socket: Socket = connect({ host: '127.0.0.1', port: Number(proxy.address.split(':')[1]) })
    await once(socket, 'connect')
    proxy.setDelay(80)
    socket.write('first ')
    while (proxy.delayed === 0) {
      await new Promise(resolve => { setTimeout(resolve, 1) })
    }
    proxy.setDelay(0)
    socket.end('second')
    await once(socket, 'close')
    equal(received, 'first second')
    await proxy.close()
    await new Promise(resolve => { server.close(resolve) })
  })

  for (const delayMilliseconds of [0, 20]) {
    it(`passes on a reset behind the data before it, delayed by ${delayMilliseconds} ms`, async () => {
      const server = createServer(socket => {
        // The proxy reads the data before the reset only if a poll comes between them.
        socket.write('data', () => { setImmediate(() => { setImmediate(() => { socket.resetAndDestroy() }) }) })
      })
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      const proxy = await startFaultProxy({ target: `127.0.0.1:${(server.address() as AddressInfo).port}` })
      proxy.setDelay(delayMilliseconds)
      for (let connection = 0; connection < 50; connection += 1) {
        const socket = connect({ host: '127.0.0.1', port: Number(proxy.address.split(':')[1]) })
        let received = ''
        socket.on('data', data => { received += data.toString() })
        const code = await new Promise<string | undefined>(resolve => {
          socket.once('error', (error: NodeJS.ErrnoException) => { resolve(error.code) })
          // Data and reset may arrive in one poll, which Node.js reports as an orderly end; a write tells them apart.
          socket.prependOnceListener('end', () => { socket.write('', error => { resolve((error as NodeJS.ErrnoException | null)?.code) }) })
        })
        equal(code, 'ECONNRESET')
        equal(received, 'data')
      }
      await proxy.close()
      await new Promise(resolve => { server.close(resolve) })
    })
  }
})
