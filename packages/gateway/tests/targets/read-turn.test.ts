/** Tests how much of one connection is read in a turn of the event loop. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { sleep } from '../../src/index.js'
import { connectDirectly } from '../../src/targets/direct-transport.js'
import { maximumBytesPerTurn, ReadTurn } from '../../src/targets/read-turn.js'
import type { TargetTransport } from '../../src/targets/transport.js'

const loopback = '127.0.0.1'
const fastBytes = 1_048_576
/** Time for bytes to reach the other side of a loopback connection. */
const transitMilliseconds = 50

describe('ReadTurn', () => {
  it('pauses a connection that has had its bytes, and reads on in the next turn', async () => {
    let resumed = 0
    const turn = new ReadTurn(() => { resumed += 1 })
    assert.ok(turn.add(maximumBytesPerTurn - 1))
    assert.equal(turn.remaining, 1)
    assert.ok(!turn.add(1))
    assert.ok(turn.isOver)
    await nextTurn()
    assert.equal(resumed, 1)
    assert.ok(turn.add(1))
  })

  it('does not pause a connection that reads less than its bytes in each turn', async () => {
    const turn = new ReadTurn(() => { assert.fail('it was paused') })
    for (let read = 0; read < 10; read += 1) {
      assert.ok(turn.add(maximumBytesPerTurn - 1))
      await nextTurn()
    }
  })

  it('keeps a target that sends as fast as it is read from taking a whole turn of the event loop', async context => {
    const server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => { socket.write(Buffer.alloc(fastBytes, 'x')) })
    })
    server.listen(0, loopback)
    await once(server, 'listening')
    const transport = await new Promise<TargetTransport>((resolve, reject) => {
      connectDirectly(`${loopback}:${(server.address() as AddressInfo).port}`, { onConnected: resolve, onFailed: reason => { reject(new Error(reason)) } })
    })
    context.after(() => {
      transport.destroy()
      server.close()
    })
    let received = 0
    let bytesInTurn = 0
    let most = 0
    const all = new Promise<void>(resolve => {
      transport.start({
        onData: bytes => {
          const isFirst = received === 0
          if (bytesInTurn === 0) {
            setImmediate(() => { bytesInTurn = 0 })
          }
          received += bytes.length
          bytesInTurn += bytes.length
          most = Math.max(most, isFirst ? 0 : bytesInTurn)
          if (received >= fastBytes) {
            resolve()
          }
          return !isFirst
        },
        onEnd: () => {},
        onLost: () => {}
      })
    })
    transport.write(Buffer.from('x'))
    await sleep(transitMilliseconds)
    transport.resume()
    await all
    assert.equal(received, fastBytes)
    assert.ok(most <= maximumBytesPerTurn, `${most} bytes were read in a turn`)
  })
})
