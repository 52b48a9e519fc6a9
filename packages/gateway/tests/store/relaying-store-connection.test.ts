/** Tests when calls to the store are made directly and when through a peer. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { DirectStoreConnection, relayStoreCall, RelayingStoreConnection, sleep } from '../../src/index.js'
import type { StoreConnection, StoreReply } from '../../src/index.js'
import { createHeldBytes } from '../util/test-held-bytes.js'
import { createTestLogger } from '../util/test-logger.js'

const served: StoreReply = { answered: true, status: 200, body: Buffer.from('direct') }
const refused: StoreReply = { answered: true, status: 503, body: Buffer.alloc(0) }
const lost: StoreReply = { answered: false, sent: true, reason: 'answer lost' }

/** A connection with prepared replies; the last one is repeated. */
class PreparedConnection implements StoreConnection {
  calls = 0

  constructor (public replies: readonly StoreReply[]) {}

  async call (): Promise<StoreReply> {
    this.calls += 1
    return await Promise.resolve(this.replies[Math.min(this.calls, this.replies.length) - 1] ?? served)
  }

  async close (): Promise<void> {}
}

describe('RelayingStoreConnection', () => {
  let peer: Server
  let peerCalls: PreparedConnection
  let peerRequests = 0

  beforeEach(async () => {
    peerRequests = 0
    peerCalls = new PreparedConnection([{ answered: true, status: 200, body: Buffer.from('relayed') }])
    const peerConnection = new RelayingStoreConnection(peerCalls, { peers: () => [], logger: createTestLogger() })
    peer = createServer((request, response) => {
      peerRequests += 1
      void relayStoreCall(peerConnection, request, response, createHeldBytes())
    })
    peer.listen(0, '127.0.0.1')
    await once(peer, 'listening')
  })

  afterEach(() => { peer.close() })

  function connect (replies: readonly StoreReply[], hasPeer = true): RelayingStoreConnection {
    const peers = hasPeer ? [`127.0.0.1:${(peer.address() as AddressInfo).port}`] : []
    return new RelayingStoreConnection(new PreparedConnection(replies), { peers: () => peers, logger: createTestLogger() })
  }

  function connectWith (direct: StoreConnection): RelayingStoreConnection {
    return new RelayingStoreConnection(direct, { peers: () => [`127.0.0.1:${(peer.address() as AddressInfo).port}`], logger: createTestLogger() })
  }

  async function read (connection: RelayingStoreConnection): Promise<string> {
    const reply = await connection.call('GET', '/log-read', null, 100)
    return reply.answered ? `${reply.status} ${reply.body.toString()}` : reply.reason
  }

  it('goes on with direct calls after a single lost answer', async () => {
    const connection = connect([lost, served])
    assert.equal((await connection.call('POST', '/log-append', Buffer.alloc(0), 100)).answered, false)
    assert.equal(await read(connection), '200 direct')
    assert.equal(peerCalls.calls, 0)
  })

  it('relays calls after two lost answers in a row, and never an append that may have been done', async () => {
    const connection = connect([lost])
    assert.equal((await connection.call('POST', '/log-append', Buffer.alloc(0), 100)).answered, false)
    assert.equal((await connection.call('POST', '/log-append', Buffer.alloc(0), 100)).answered, false)
    assert.equal(peerCalls.calls, 0)
    assert.equal(await read(connection), '200 relayed')
  })

  it('goes on with direct calls after a lost answer and a repetition that is lost too', async () => {
    const connection = connect([lost, lost, served])
    assert.equal(await read(connection), '200 relayed')
    assert.equal(await read(connection), '200 direct')
  })

  it('goes on with direct calls after all connections were reset at once', async () => {
    const connection = connect([lost, lost, lost, served])
    assert.deepEqual(await Promise.all([read(connection), read(connection), read(connection)]), Array.from({ length: 3 }, () => '200 direct'))
    assert.equal(peerCalls.calls, 0)
  })

  it('asks peers seldom while these have no access to the store either, and calls the store directly as soon as it is back', async () => {
    peerCalls.replies = [refused]
    const direct = new PreparedConnection([refused])
    const connection = connectWith(direct)
    const startedAt = Date.now()
    while (Date.now() - startedAt < 700) {
      await read(connection)
      await sleep(5)
    }
    // One direct call at the beginning, and others after 100, 200 and 400 ms or less; a peer is asked every 400 ms, and asks the store itself only once.
    assert.ok(direct.calls <= 6, `${direct.calls} direct calls`)
    assert.ok(peerRequests <= 3, `${peerRequests} requests to peers`)
    direct.replies = [served]
    const backAt = Date.now()
    while (await read(connection) !== '200 direct') {
      await sleep(5)
    }
    assert.ok(Date.now() - backAt < 900)
  })

  it('relays a call that the store rejects, and those after it', async () => {
    const connection = connect([refused])
    assert.equal(await read(connection), '200 relayed')
    assert.equal(await read(connection), '200 relayed')
  })

  it('relays calls of a partition again that the store has refused once, though it does not call that itself', async () => {
    const connection = new RelayingStoreConnection(new PreparedConnection([refused, served]), { peers: () => [], logger: createTestLogger(), partitionOf: path => path })
    const relay = async (path: string): Promise<number> => {
      const reply = await connection.callForPeer('GET', path, null, 500)
      return reply.answered ? reply.status : 0
    }
    assert.deepEqual([await relay('/a'), await relay('/b'), await relay('/a')], [503, 200, 0])
    await sleep(150)
    assert.equal(await relay('/a'), 200)
  })

  it('calls the store directly while it knows no peer', async () => {
    const connection = connect([refused, refused, served], false)
    assert.equal(await read(connection), '503 ')
    assert.equal(await read(connection), '503 ')
    assert.equal(await read(connection), '200 direct')
  })

  it('answers an urgent read through a peer while the store is silent for this instance, and for the first peer', async () => {
    const silent: StoreConnection = {
      call: async (_method, _path, _body, timeoutMilliseconds) => {
        await sleep(timeoutMilliseconds)
        return lost
      },
      close: async () => {}
    }
    const silentPeerConnection = new RelayingStoreConnection(silent, { peers: () => [], logger: createTestLogger() })
    const silentPeer = createServer((request, response) => { void relayStoreCall(silentPeerConnection, request, response, createHeldBytes()) })
    silentPeer.listen(0, '127.0.0.1')
    await once(silentPeer, 'listening')
    const peers = [silentPeer, peer].map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`)
    const connection = new RelayingStoreConnection(silent, { peers: () => peers, logger: createTestLogger() })
    const startedAt = Date.now()
    const reply = await connection.call('GET', '/log-read', null, 450, true)
    const took = Date.now() - startedAt
    silentPeer.closeAllConnections()
    silentPeer.close()
    assert.deepEqual(reply, { answered: true, status: 200, body: Buffer.from('relayed') })
    assert.ok(took < 400, `the read took ${took} ms`)
  })

  it('sends an urgent read once if it is answered at once', async () => {
    const direct = new PreparedConnection([served])
    const reply = await connectWith(direct).call('GET', '/log-read', null, 450, true)
    await sleep(150)
    assert.deepEqual([reply, direct.calls, peerRequests], [served, 1, 0])
  })

  it('asks peers for urgent reads seldom while these have no access to the store either', async () => {
    peerCalls.replies = [lost]
    const connection = connectWith(new PreparedConnection([lost]))
    const startedAt = Date.now()
    let reads = 0
    while (Date.now() - startedAt < 1_000) {
      await connection.call('GET', '/log-read', null, 100, true)
      reads += 1
      await sleep(20)
    }
    assert.ok(peerRequests >= 2 && peerRequests <= 3, `${peerRequests} of ${reads} reads asked the peer`)
  })

  for (const [direction, step] of [['back', -60_000], ['ahead', 60_000]] as const) {
    it(`calls the store directly again within a second after the clock was set ${direction}`, async context => {
      peerCalls.replies = [refused]
      const direct = new PreparedConnection([refused])
      const connection = connectWith(direct)
      await read(connection)
      const { now } = Date
      context.mock.method(Date, 'now', () => now() + step)
      await sleep(1_000)
      direct.replies = [served]
      assert.equal(await read(connection), '200 direct')
    })
  }

  for (const [name, isWhole] of [['relays a read whose response goes on for longer than a call may take', true], ['does not take a relayed read for complete that the store breaks off', false]] as const) {
    it(name, async context => {
      const parts = Array.from({ length: 8 }, (_, index) => `part ${index};`)
      const store = createServer((_request, response) => {
        void (async () => {
          for (const part of parts) {
            response.write(part)
            await sleep(200)
          }
          isWhole ? response.end() : response.destroy()
        })()
      })
      store.listen(0, '127.0.0.1')
      await once(store, 'listening')
      const direct = new DirectStoreConnection(`127.0.0.1:${(store.address() as AddressInfo).port}`)
      const peerConnection = new RelayingStoreConnection(direct, { peers: () => [], logger: createTestLogger() })
      const slowPeer = createServer((request, response) => { void relayStoreCall(peerConnection, request, response, createHeldBytes()) })
      slowPeer.listen(0, '127.0.0.1')
      await once(slowPeer, 'listening')
      context.after(async () => {
        await direct.close()
        for (const server of [store, slowPeer]) {
          server.closeAllConnections()
          server.close()
        }
      })
      const address = `127.0.0.1:${(slowPeer.address() as AddressInfo).port}`
      const connection = new RelayingStoreConnection(new PreparedConnection([refused]), { peers: () => [address], logger: createTestLogger() })
      const reply = await connection.call('GET', '/log-newest', null, 450)
      if (isWhole) {
        assert.deepEqual(reply, { answered: true, status: 200, body: Buffer.from(parts.join('')) })
      } else {
        assert.equal(reply.answered, false)
      }
    })
  }
})
