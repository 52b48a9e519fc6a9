/** Tests what an item keeps when its slot is revoked, and when it gives up. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { RefusalReason, RouteKind, SlotOutcome } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { ItemRun } from '../../src/jobs/item-run.js'
import { ItemState } from '../../src/jobs/job.js'
import type { Job, JobItem } from '../../src/jobs/job.js'
import type { AcquireResult, SlotDemand } from '../../src/permits/slot.js'
import { TargetConnection } from '../../src/targets/target-connection.js'
import { TargetConnections } from '../../src/targets/target-connections.js'
import { sleep } from '../../src/util/sleep.js'
import { createTestLogger } from '../util/test-logger.js'

const names = { requestId: 'x-request-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notExecuted: 'x-not-executed', targetLeaving: 'x-leaving', rateLimit: 'x-rate-limit', promptPrefix: 'x-prompt-prefix', resumes: 'x-resumes', wait: 'x-wait' }
const route = { name: 'r', host: 'h', kind: RouteKind.Batch, maxAttempts: 3, completionMilliseconds: 10_000, retentionMilliseconds: 60_000, services: [{ service: 's', weight: 1 }] } as unknown as Route
const item: JobItem = { id: 'i', path: '/p', headers: [], body: Buffer.from('b'), tokens: 1 }
const job: Job = { id: 'j', route: 'r', items: [item], acceptedAt: Date.now(), acceptedBy: 'a', bodyParts: 1, results: [], finished: new Set(), ended: false }

/** The configuration does not change. */
async function refreshRoutes (): Promise<boolean> {
  return true
}

/** Waits for a slot in vain. */
async function acquire (_demand: unknown, signal: AbortSignal): Promise<AcquireResult> {
  await once(signal, 'abort')
  return { granted: false, reason: RefusalReason.Busy, retryAfter: 0 }
}

describe('ItemRun', () => {
  it('keeps the events that arrived before its slot was revoked', async context => {
    let event = 0
    let onSixthEvent: () => void = () => {}
    const sixthEvent = new Promise<void>(resolve => { onSixthEvent = resolve })
    const server = createServer((request, response) => {
      response.writeHead(200, { 'x-request-id': String(request.headers['x-request-id']), 'content-type': 'text/event-stream' })
      const timer = setInterval(() => {
        event += 1
        response.write(`id: ${event}\ndata: ${event}\n\n`)
        if (event === 6) {
          onSixthEvent()
        }
      }, 20)
      response.once('close', () => { clearInterval(timer) })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const revoke = new AbortController()
    const outcomes: SlotOutcome[] = []
    const demands: Array<{ readonly ran: number }> = []
    const connections = new TargetConnections()
    context.after(() => {
      connections.close()
      server.closeAllConnections()
      server.close()
    })
    const run = new ItemRun({
      slots: {
        acquire: async (demand, signal): Promise<AcquireResult> => {
          demands.push(demand)
          if (demands.length > 1) {
            await once(signal, 'abort')
            return { granted: false, reason: RefusalReason.Busy, retryAfter: 0 }
          }
          return { granted: true, slot: { permit: 'p', target: { id: 't', address, born: 1, softwareVersion: 'v1' }, revoked: revoke.signal, markLeaving: () => {}, recordRateLimit: () => {}, markSound: () => {}, release: outcome => { outcomes.push(outcome) } } }
        }
      },
      connections,
      names,
      logger: createTestLogger(),
      routeOf: () => route,
      refreshRoutes,
      serviceOf: () => 's'
    }, job, item, Promise.resolve(null))
    const ended = run.run()
    context.after(() => { run.stop() })
    // The response is read at the first event, and then every 150 ms.
    await sixthEvent
    const sent = event
    revoke.abort()
    await sleep(50)
    // The last event may be in transit.
    assert.ok((run.progress?.lastId ?? 0) >= sent - 1, `${sent} events were sent, progress is ${JSON.stringify(run.progress)}`)
    assert.deepEqual(outcomes, [SlotOutcome.Stopped])
    assert.ok((demands[1]?.ran ?? 0) >= 100)
    run.stop()
    assert.equal(await ended, null)
  })

  it('does not count a late copy of a failed response as another failed attempt', async context => {
    const responseOf = (status: number, body: string): string => `HTTP/1.1 ${status} S\r\nX-Request-Id: ${item.id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`
    const failure = responseOf(500, 'failed')
    const whole = responseOf(200, 'id: 1\ndata: a\n\n')
    let requests = 0
    const server = createTcpServer(socket => {
      let carried = 0
      socket.on('error', () => {})
      socket.on('data', () => {
        requests += 1
        carried += 1
        const late = carried > 1 ? failure : ''
        socket.write(requests === 1 ? failure : late + whole)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const connections = new TargetConnections()
    context.after(() => {
      connections.close()
      server.close()
    })
    const slot = { permit: 'p', target: { id: 't', address, born: 1, softwareVersion: 'v1' }, revoked: new AbortController().signal, markLeaving: () => {}, recordRateLimit: () => {}, markSound: () => {}, release: () => {} }
    const dependencies = { slots: { acquire: async (): Promise<AcquireResult> => ({ granted: true, slot }) }, connections, names, logger: createTestLogger(), routeOf: () => ({ ...route, maxAttempts: 2 }), refreshRoutes, serviceOf: () => 's' }
    const run = new ItemRun(dependencies, { ...job, acceptedAt: Date.now() }, item, Promise.resolve(null))
    assert.deepEqual(await run.run(), { state: ItemState.Completed, text: 'a' })
  })

  it('runs an item elsewhere whose target has a port that no connection can be opened to', async context => {
    const server = createServer((_request, response) => { response.writeHead(200, { 'x-request-id': item.id, 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\n') })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const addresses = ['127.0.0.1:65536', `127.0.0.1:${(server.address() as AddressInfo).port}`]
    const connections = new TargetConnections()
    context.after(() => {
      connections.close()
      server.close()
    })
    const outcomes: SlotOutcome[] = []
    const grant = async (): Promise<AcquireResult> => {
      const target = { id: 't', address: addresses.shift() ?? '', born: 1, softwareVersion: 'v1' }
      return { granted: true, slot: { permit: 'p', target, revoked: new AbortController().signal, markLeaving: () => {}, recordRateLimit: () => {}, markSound: () => {}, release: outcome => { outcomes.push(outcome) } } }
    }
    const dependencies = { slots: { acquire: grant }, connections, names, logger: createTestLogger(), routeOf: () => route, refreshRoutes, serviceOf: () => 's' }
    const run = new ItemRun(dependencies, { ...job, acceptedAt: Date.now() }, item, Promise.resolve(null))
    assert.deepEqual(await run.run(), { state: ItemState.Completed, text: 'a' })
    assert.deepEqual(outcomes, [SlotOutcome.Unreachable, SlotOutcome.Finished])
  })

  it('begins an item anew whose rests all its targets refuse, in place of trying until its retention ends', async context => {
    const rests: Array<string | null> = []
    const server = createServer((request, response) => {
      const after = request.headers['last-event-id']
      rests.push(typeof after === 'string' ? after : null)
      const head = { 'x-request-id': String(request.headers['x-request-id']), 'content-type': 'text/event-stream' }
      if (after !== undefined) {
        response.writeHead(404, head).end('no rest')
        return
      }
      response.writeHead(200, head)
      response.write('id: 1\ndata: a\n\n')
      setTimeout(() => { rests.length === 1 ? response.destroy() : response.end('id: 2\ndata: b\n\n') }, 200)
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const connections = new TargetConnections()
    context.after(() => {
      connections.close()
      server.closeAllConnections()
      server.close()
    })
    const slot = { permit: 'p', target: { id: 't', address, born: 1, softwareVersion: 'v1' }, revoked: new AbortController().signal, markLeaving: () => {}, recordRateLimit: () => {}, markSound: () => {}, release: () => {} }
    const run = new ItemRun({
      slots: { acquire: async () => ({ granted: true, slot }) },
      connections,
      names,
      logger: createTestLogger(),
      routeOf: () => route,
      refreshRoutes,
      serviceOf: () => 's'
    }, job, item, Promise.resolve(null))
    context.after(() => { run.stop() })
    assert.deepEqual(await run.run(), { state: ItemState.Completed, text: 'a\nb' })
    assert.deepEqual(rests, [null, '1', '1', '1', null])
  })

  it('gives a slot back and runs an item again after an error while its request is sent', async context => {
    const server = createServer((_request, response) => { response.writeHead(200, { 'x-request-id': item.id, 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\n') })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const connections = new TargetConnections()
    context.after(() => {
      connections.close()
      server.close()
    })
    context.mock.method(TargetConnection.prototype, 'send', () => { throw new Error('cannot send') }, { times: 1 })
    const outcomes = new Map<string, SlotOutcome>()
    let grants = 0
    const grant = async (): Promise<AcquireResult> => {
      grants += 1
      const permit = `p${grants}`
      const release = (outcome: SlotOutcome): void => { outcomes.set(permit, outcomes.get(permit) ?? outcome) }
      return { granted: true, slot: { permit, target: { id: 't', address, born: 1, softwareVersion: 'v1' }, revoked: new AbortController().signal, markLeaving: () => {}, recordRateLimit: () => {}, markSound: () => {}, release } }
    }
    const dependencies = { slots: { acquire: grant }, connections, names, logger: createTestLogger(), routeOf: () => route, refreshRoutes, serviceOf: () => 's' }
    const run = new ItemRun(dependencies, { ...job, acceptedAt: Date.now() }, item, Promise.resolve(null))
    assert.deepEqual(await run.run(), { state: ItemState.Completed, text: 'a' })
    assert.deepEqual([...outcomes.values()], [SlotOutcome.Stopped, SlotOutcome.Finished])
  })

  it('does not go to another target for a pause of this process', async context => {
    const pauseMilliseconds = 2_000
    let requests = 0
    const server = createTcpServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => {
        requests += 1
        socket.write(`HTTP/1.1 200 S\r\nX-Request-Id: ${item.id}\r\nContent-Length: 30\r\n\r\nid: 1\ndata: a\n\n`)
        void sleep(300).then(() => {
          // From here, timers that have expired run before sockets are read.
          setImmediate(() => {
            socket.write('id: 2\ndata: b\n\n')
            const end = Date.now() + pauseMilliseconds
            while (Date.now() < end);
          })
        })
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const connections = new TargetConnections()
    context.after(() => {
      connections.close()
      server.close()
    })
    const outcomes: SlotOutcome[] = []
    const slot = { permit: 'p', target: { id: 't', address, born: 1, softwareVersion: 'v1' }, revoked: new AbortController().signal, markLeaving: () => {}, recordRateLimit: () => {}, markSound: () => {}, release: (outcome: SlotOutcome) => { outcomes.push(outcome) } }
    const dependencies = { slots: { acquire: async (): Promise<AcquireResult> => ({ granted: true, slot }) }, connections, names, logger: createTestLogger(), routeOf: () => route, refreshRoutes, serviceOf: () => 's' }
    const run = new ItemRun(dependencies, { ...job, acceptedAt: Date.now() }, item, Promise.resolve(null))
    assert.deepEqual(await run.run(), { state: ItemState.Completed, text: 'a\nb' })
    assert.deepEqual([requests, outcomes], [1, [SlotOutcome.Finished]])
  })

  it('gives an item up at the end of its retention although it gets no slot', async () => {
    const dependencies = { slots: { acquire }, connections: new TargetConnections(), names, logger: createTestLogger(), routeOf: () => ({ ...route, retentionMilliseconds: 100 }), refreshRoutes, serviceOf: () => 's' }
    const run = new ItemRun(dependencies, { ...job, acceptedAt: Date.now() }, item, Promise.resolve(null))
    const outcome = await Promise.race([run.run(), sleep(3_000).then(() => 'still waiting')])
    run.stop()
    assert.deepEqual(outcome, { state: ItemState.Abandoned, text: '' })
  })

  it('gives an item up soon after its route was removed although it gets no slot', async () => {
    let current: Route | null = route
    const dependencies = { slots: { acquire }, connections: new TargetConnections(), names, logger: createTestLogger(), routeOf: () => current, refreshRoutes, serviceOf: () => 's' }
    const run = new ItemRun(dependencies, job, item, Promise.resolve(null))
    const ended = run.run()
    await sleep(50)
    current = null
    const outcome = await Promise.race([ended, sleep(4_000).then(() => 'still waiting')])
    run.stop()
    assert.deepEqual(outcome, { state: ItemState.Abandoned, text: '' })
  })

  it('gives an item up when its retention ends, although a target still sends events', async context => {
    const server = createServer((request, response) => {
      response.writeHead(200, { 'x-request-id': String(request.headers['x-request-id']), 'content-type': 'text/event-stream' })
      let event = 0
      const timer = setInterval(() => {
        event += 1
        response.write(`id: ${event}\ndata: a\n\n`)
      }, 20)
      response.once('close', () => { clearInterval(timer) })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const outcomes: SlotOutcome[] = []
    const connections = new TargetConnections()
    const run = new ItemRun({
      slots: {
        acquire: async (): Promise<AcquireResult> => {
          return { granted: true, slot: { permit: 'p', target: { id: 't', address, born: 1, softwareVersion: 'v1' }, revoked: new AbortController().signal, markLeaving: () => {}, recordRateLimit: () => {}, markSound: () => {}, release: outcome => { outcomes.push(outcome) } } }
        }
      },
      connections,
      names,
      logger: createTestLogger(),
      routeOf: () => ({ ...route, retentionMilliseconds: 400 }),
      refreshRoutes,
      serviceOf: () => 's'
    }, { ...job, acceptedAt: Date.now() }, item, Promise.resolve(null))
    context.after(() => {
      run.stop()
      connections.close()
      server.closeAllConnections()
      server.close()
    })
    assert.deepEqual(await Promise.race([run.run(), sleep(3_000)]), { state: ItemState.Abandoned, text: '' })
    assert.deepEqual(outcomes, [SlotOutcome.Stopped])
  })

  it('goes on at its service and software version, and begins anew if the version is gone or the route has the service no more', async () => {
    const progress = { lastId: 7, origin: { service: 's', softwareVersion: 'v1' }, text: 'a' }
    const moved = { ...route, services: [{ service: 'other', weight: 1 }] }
    const both = { ...route, services: [{ service: 'other', weight: 1 }, { service: 's', weight: 1 }] }
    const cases = [
      [both, RefusalReason.Busy, [['s', 'v1'], ['s', 'v1']]],
      [both, RefusalReason.VersionGone, [['s', 'v1'], ['other', null]]],
      [both, RefusalReason.VersionUnknown, [['s', 'v1'], ['other', null]]],
      [moved, RefusalReason.Busy, [['other', null], ['other', null]]]
    ] as const
    for (const [current, reason, expected] of cases) {
      const asked: Array<readonly [string, string | null]> = []
      const dependencies = {
        slots: {
          acquire: async (demand: SlotDemand): Promise<AcquireResult> => {
            asked.push([demand.service, demand.continues?.softwareVersion ?? null])
            if (asked.length === 2) {
              run.stop()
            }
            return { granted: false, reason, retryAfter: 1 }
          }
        },
        connections: new TargetConnections(),
        names,
        logger: createTestLogger(),
        routeOf: () => current,
        refreshRoutes,
        serviceOf: () => 'other'
      }
      const run: ItemRun = new ItemRun(dependencies, { ...job, acceptedAt: Date.now() }, item, Promise.resolve(progress))
      assert.equal(await run.run(), null)
      assert.deepEqual(asked, expected)
    }
  })

  const known: ReadonlyArray<readonly [string, Route | null, Partial<Job>]> = [
    ['a route that was added', null, {}],
    ['a longer retention', { ...route, retentionMilliseconds: 1_000 }, { acceptedAt: Date.now() - 2_000 }],
    ['a removed route that was added again', null, { acceptedAt: Date.now() - 2_000 }]
  ]
  for (const [change, before, changes] of known) {
    it(`does not give an item up by an outdated configuration, which lacks ${change}, before the store has shown the newest one`, async () => {
      let current = before
      let reads = 0
      const asked: string[] = []
      const dependencies = {
        slots: {
          acquire: async ({ service }: SlotDemand): Promise<AcquireResult> => {
            asked.push(service)
            run.stop()
            return { granted: false, reason: RefusalReason.Busy, retryAfter: 1 }
          }
        },
        connections: new TargetConnections(),
        names,
        logger: createTestLogger(),
        routeOf: () => current,
        refreshRoutes: async () => {
          reads += 1
          if (reads < 3) {
            // The store does not answer the woken process at once.
            return false
          }
          current = route
          return true
        },
        serviceOf: () => 's'
      }
      const run: ItemRun = new ItemRun(dependencies, { ...job, ...changes }, item, Promise.resolve(null))
      assert.equal(await run.run(), null)
      assert.deepEqual([reads, asked], [3, ['s']])
    })
  }

  it('does not give an item up by a read of the configuration that a pause of the process has outdated', async context => {
    context.mock.timers.enable({ apis: ['Date'], now: 1_000_000 })
    let current: Route | null = null
    let reads = 0
    const dependencies = {
      slots: { acquire },
      connections: new TargetConnections(),
      names,
      logger: createTestLogger(),
      routeOf: () => current,
      refreshRoutes: async () => {
        reads += 1
        if (reads === 1) {
          context.mock.timers.setTime(1_004_000)
        } else {
          current = route
          run.stop()
        }
        return true
      },
      serviceOf: () => 's'
    }
    const run: ItemRun = new ItemRun(dependencies, { ...job, acceptedAt: 1_000_000 }, item, Promise.resolve(null))
    assert.equal(await run.run(), null)
    assert.equal(reads, 2)
  })
})
