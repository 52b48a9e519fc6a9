import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import {
  createHttpEngine,
  createHttpInstanceList,
  createHttpLogService,
  createHttpPlainService,
  createHttpWeightStore,
  GenerationPath,
  LogErrorCode,
  MemberKind,
  MemberState,
  OrderKind,
  TargetErrorCode
} from '@arbutusloft/adapters'
import type { GeneratedToken } from '@arbutusloft/adapters'
import {
  startEngineStandIn,
  startInstanceListStandIn,
  startLogStandIn,
  startPlainServiceStandIn,
  startWeightStoreStandIn
} from '@arbutusloft/stand-ins'
import { waitUntil } from '@arbutusloft/development'

const unreachableAddress = '127.0.0.1:1'
const body = { model: 'm', prompt: 'a prompt', max_tokens: 6 }

void describe('the log adapter', () => {
  void it('appends, reads, waits for new entries, and distinguishes errors', async () => {
    const log = await startLogStandIn({ entryBytes: 10, appendsPerSecond: 3 })
    const adapter = createHttpLogService({ address: log.address, timeoutMilliseconds: 1_000 })
    assert.equal((await adapter.append('s', Buffer.from('one'))).unwrap(), 0)
    const pendingRead = adapter.read('s', { from: 1, limit: 10, waitMilliseconds: 5_000 })
    assert.equal((await adapter.append('s', Buffer.from('two'))).unwrap(), 1)
    assert.equal(Buffer.from((await pendingRead).unwrap().entries[0]?.data ?? []).toString(), 'two')
    const appendErrorCode = async (data: string): Promise<string | null> => {
      const result = await adapter.append('s', Buffer.from(data))
      return result.err ? result.val.code : null
    }
    assert.equal(await appendErrorCode('much too long'), LogErrorCode.TooLarge)
    await waitUntil('the rate limit rejects an append', async () => await appendErrorCode('x') === LogErrorCode.RateLimited)
    log.setFaults({ outage: true })
    assert.equal(await appendErrorCode('x'), LogErrorCode.Unavailable)
    await adapter.close()
    await log.close()
  })
})

void describe('the engine adapter', () => {
  void it('generates, resumes, cancels, sends orders and reads reports', async () => {
    const engine = await startEngineStandIn({ model: 'm', loadLagMilliseconds: 0, cacheLagMilliseconds: 0 })
    const adapter = createHttpEngine()
    const tokens: GeneratedToken[] = []
    const sink = { onToken: (token: GeneratedToken) => { tokens.push(token) } }
    const request = { dispatch: 'd1', path: GenerationPath.Completion, body }
    const usage = (await adapter.generate(engine.address, request, sink)).unwrap()
    assert.equal(usage.completionTokens, 6)
    assert.deepEqual(tokens.map(token => token.index), [0, 1, 2, 3, 4, 5])
    const resumedTokens: GeneratedToken[] = []
    const resumed = await adapter.resume(engine.address, { dispatch: 'd1', from: 4 }, { onToken: token => { resumedTokens.push(token) } })
    assert.ok(resumed.ok)
    assert.deepEqual(resumedTokens, tokens.slice(4))
    assert.ok((await adapter.cancel(engine.address, 'd1')).ok)
    const resumedAfterCancel = await adapter.resume(engine.address, { dispatch: 'd1', from: 0 }, sink)
    assert.ok(resumedAfterCancel.err && resumedAfterCancel.val.code === TargetErrorCode.NotFound)
    assert.ok((await adapter.load(engine.address)).ok)
    assert.ok((await adapter.cacheEvents(engine.address, 0)).ok)
    const order = { kind: OrderKind.SetVersion, value: '2' } as const
    assert.equal((await adapter.order(engine.address, { ...order, fencing: 5 })).unwrap().version, '2')
    assert.ok((await adapter.order(engine.address, { ...order, fencing: 4 })).err)
    assert.equal((await adapter.state(engine.address)).unwrap().fencing, 5)
    await adapter.close()
    await engine.close()
  })

  void it('reports whether a byte may have reached the target', async () => {
    const engine = await startEngineStandIn({ model: 'm' })
    const adapter = createHttpEngine()
    const sink = { onToken: () => {} }
    const request = { dispatch: 'd', path: GenerationPath.Completion, body }
    const unreachable = await adapter.generate(unreachableAddress, request, sink)
    assert.ok(unreachable.err && !unreachable.val.mayHaveReachedTarget)
    const rejected = await adapter.generate(engine.address, { ...request, body: { ...body, model: 'other' } }, sink)
    assert.ok(rejected.err && rejected.val.mayHaveReachedTarget)
    await adapter.close()
    await engine.close()
  })
})

void describe('the other adapters', () => {
  void it('call plain services', async () => {
    const service = await startPlainServiceStandIn()
    const adapter = createHttpPlainService()
    const call = { dispatch: 'd', method: 'POST', path: '/p?q=1', contentType: 'text/plain', idempotencyKey: 'k', body: Buffer.from('hello') }
    const response = (await adapter.call(service.address, call)).unwrap()
    assert.match(Buffer.from(response.body).toString(), /"received":"hello"/)
    const unreachable = await adapter.call(unreachableAddress, call)
    assert.ok(unreachable.err && !unreachable.val.mayHaveReachedTarget)
    await adapter.close()
    await service.close()
  })

  void it('do not take an answer of a plain service for whole that has neither a length nor chunks', async context => {
    for (const isReset of [false, true]) {
      const server = createServer(socket => {
        socket.on('error', () => {})
        socket.once('data', () => {
          socket.write('HTTP/1.1 200 OK\r\nX-Dispatch-Id: d\r\n\r\nhalf of', () => {
            setTimeout(() => { isReset ? socket.resetAndDestroy() : socket.end() }, 15)
          })
        })
      })
      server.listen(0, '127.0.0.1')
      await once(server, 'listening')
      const adapter = createHttpPlainService()
      context.after(async () => {
        server.close()
        await adapter.close()
      })
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
      const call = { dispatch: 'd', method: 'POST', path: '/p', contentType: null, idempotencyKey: null, body: Buffer.from('hello') }
      const result = await adapter.call(address, call)
      assert.ok(result.err && result.val.code === TargetErrorCode.Interrupted && result.val.mayHaveReachedTarget)
    }
  })

  void it('do not take an answer that is cut inside its head for one, at any byte, on a new connection or one used before', async context => {
    const framings = ['Content-Length: 4', 'Transfer-Encoding: chunked', 'X-Other: y', 'Connection: close\r\nContent-Length: 4']
    const interims = ['', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n']
    let cut = ''
    let isReset = false
    const server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', data => {
        if (data.includes('/whole')) {
          socket.write('HTTP/1.1 200 OK\r\nX-Dispatch-Id: d\r\nContent-Length: 4\r\n\r\nearl')
          return
        }
        socket.write(cut, () => { isReset ? socket.resetAndDestroy() : socket.end() })
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const service = createHttpPlainService()
    const engine = createHttpEngine()
    context.after(async () => {
      server.close()
      await service.close()
      await engine.close()
    })
    const call = { dispatch: 'd', method: 'POST', path: '/p', contentType: null, idempotencyKey: null, body: Buffer.from('hello') }
    for (const head of framings.flatMap(framing => interims.map(interim => `${interim}HTTP/1.1 200 OK\r\nX-Dispatch-Id: d\r\n${framing}\r\n\r\n`))) {
      for (let length = 0; length < head.length; length += 1) {
        cut = head.slice(0, length)
        isReset = length % 2 === 1
        assert.ok((await service.call(address, { ...call, path: '/whole' })).ok)
        for (const method of ['POST', 'HEAD']) {
          const result = await service.call(address, { ...call, method, body: method === 'HEAD' ? Buffer.alloc(0) : call.body })
          assert.ok(result.err && result.val.mayHaveReachedTarget, `${method} ${JSON.stringify(cut)}`)
        }
        const tokens: GeneratedToken[] = []
        const generated = await engine.generate(address, { dispatch: 'd', path: GenerationPath.Completion, body }, { onToken: token => { tokens.push(token) } })
        assert.ok(generated.err && generated.val.mayHaveReachedTarget && tokens.length === 0, JSON.stringify(cut))
      }
    }
  })

  void it('read the instance list and the weight store', async () => {
    const list = await startInstanceListStandIn()
    const member = { id: 't', kind: MemberKind.Target, address: unreachableAddress, zone: 'a', state: MemberState.Live }
    list.put(member)
    const instances = createHttpInstanceList({ address: list.address })
    assert.deepEqual((await instances.fetch()).unwrap(), [member])
    const store = await startWeightStoreStandIn({ models: [{ model: 'm', bytes: 10 }] })
    const weights = createHttpWeightStore({ address: store.address })
    assert.deepEqual((await weights.catalogue()).unwrap().models, [{ model: 'm', bytes: 10 }])
    await Promise.all([instances.close(), weights.close(), list.close(), store.close()])
    assert.ok((await createHttpInstanceList({ address: unreachableAddress }).fetch()).err)
  })
})
