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
})
