/** Tests what callers get at an instance that is cut off from all targets, while peers reach these, and what is reported of the targets. */
import assert from 'node:assert/strict'
import type { Socket } from 'node:net'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { RouteKind, SlotOutcome } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { sleep } from '../../src/index.js'
import { CallerKind, CallerView, OnlineHarness } from '../util/online-harness.js'
import { Cut, RelayHarness } from '../util/relay-harness.js'
import type { RelayHarnessOptions } from '../util/relay-harness.js'

const head = 'HTTP/1.1 200 S\r\nX-Request-Id: id\r\n'
const whole = `${head}Content-Length: 5\r\n\r\nwhole`
const events = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'] as const
const common = { name: 'r', host: 'h', prefix: '/p/', services: [], timeoutMilliseconds: 2_000, objectiveMilliseconds: 1_000, priority: 0, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0 }
const singleRunRoute: Route = { ...common, kind: RouteKind.SingleRun, maxAttempts: 2, resumable: false }
const resumableRoute: Route = { ...common, kind: RouteKind.Stream, maxAttempts: 3, resumable: true }
const targets = 3
/** Longer than the time after which a target that closes its connection counts as crashed. */
const runMilliseconds = 40
/** Time for the checks after which a slot is released. */
const releaseMilliseconds = 400

interface Started {
  readonly online: OnlineHarness
  readonly relay: RelayHarness
}

/** Starts an instance whose attempts go to one target after the other. */
async function start (context: TestContext, route: Route, options: Omit<RelayHarnessOptions, 'targets'>): Promise<Started> {
  const relay = await RelayHarness.start({ ...options, targets })
  const firstTargets = relay.registry.all().map(({ address }) => address)
  const online = await OnlineHarness.start(route, [], { firstTargets, connections: relay.connections })
  context.after(async () => {
    online.close()
    await relay.close()
  })
  return { online, relay }
}

/** Sends events one after the other from the one that the request asks for. */
function serveEvents (socket: Socket, gapMilliseconds: number): void {
  socket.once('data', data => {
    const after = Number(/Last-Event-Id: (\d+)/i.exec(data.toString())?.[1] ?? 0)
    socket.write(`${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`)
    void events.slice(after).reduce(async (before, event) => {
      await before
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
      await sleep(gapMilliseconds)
    }, Promise.resolve()).then(() => { socket.write('0\r\n\r\n') })
  })
}

describe('an instance that is cut off from all targets', () => {
  for (const how of Object.values(Cut)) {
    it(`serves a request that may run once if its connections ${how}`, async context => {
      const { online, relay } = await start(context, singleRunRoute, { serve: socket => { socket.on('data', () => { socket.write(whole) }) } })
      await relay.cut(how)
      assert.deepEqual(await online.call(CallerKind.KeepAlive), { status: 200, body: 'whole', view: CallerView.Complete })
      assert.deepEqual(online.outcomes, [SlotOutcome.Finished])
      assert.equal(relay.accepted.length, 1)
      assert.ok(online.logLines.some(line => line.includes('"message":"dispatch ended"') && line.includes(`"via":"${relay.peers[0]?.address}"`)))
    })
  }

  it('resumes a stream through a peer whose connection the cut has reset, and reports nothing against the target', async context => {
    const { online, relay } = await start(context, resumableRoute, { serve: socket => { serveEvents(socket, runMilliseconds) } })
    const answer = online.call(CallerKind.KeepAlive)
    while (relay.accepted.length === 0) {
      await sleep(1)
    }
    await sleep(runMilliseconds / 2)
    await relay.cut(Cut.Reset)
    assert.deepEqual(await answer, { status: 200, body: events.join(''), view: CallerView.Complete })
    await sleep(releaseMilliseconds)
    assert.deepEqual(online.outcomes.toSorted(), [SlotOutcome.Finished, SlotOutcome.Stopped])
  })

  it('serves a request that may run once through its only peer, which stops, and runs it once', async context => {
    const { online, relay } = await start(context, singleRunRoute, { serve: socket => { socket.on('data', () => { socket.write(whole) }) } })
    await relay.cut(Cut.Refuse)
    relay.peers[0]?.stop(singleRunRoute.timeoutMilliseconds + 500)
    assert.deepEqual(await online.call(CallerKind.KeepAlive), { status: 200, body: 'whole', view: CallerView.Complete })
    assert.deepEqual([online.outcomes, relay.accepted.length], [[SlotOutcome.Finished], 1])
  })

  it('refuses a request as not run that its only peer, which stops, might not end', async context => {
    const { online, relay } = await start(context, singleRunRoute, { serve: () => {} })
    await relay.cut(Cut.Refuse)
    relay.peers[0]?.stop(singleRunRoute.timeoutMilliseconds - 100)
    const { status } = await online.call(CallerKind.KeepAlive)
    assert.deepEqual([status, relay.accepted.length], [503, 0])
  })

  it('does not run a request again whose relay, which stops, was lost, and does not say that it has not run', async context => {
    const { online, relay } = await start(context, singleRunRoute, {
      serve: socket => {
        socket.once('data', () => {
          socket.write(head)
          relay.peers.forEach(peer => { peer.kill() })
        })
      },
      peers: [true, false]
    })
    await relay.cut(Cut.Refuse)
    relay.peers.forEach(peer => { peer.stop(singleRunRoute.timeoutMilliseconds + 500) })
    const { status } = await online.call(CallerKind.KeepAlive)
    assert.deepEqual([status, relay.accepted.length, online.outcomes], [502, 1, [SlotOutcome.Stopped]])
  })

  it('resumes a stream through another peer that stops after its relay, which stops, was lost', async context => {
    const { online, relay } = await start(context, resumableRoute, { serve: socket => { serveEvents(socket, runMilliseconds) }, peers: [true, true] })
    await relay.cut(Cut.Refuse)
    relay.peers.forEach(peer => { peer.stop(resumableRoute.timeoutMilliseconds + 500) })
    const answer = online.call(CallerKind.KeepAlive)
    while (relay.accepted.length === 0) {
      await sleep(1)
    }
    await sleep(runMilliseconds / 2)
    relay.peers.find(({ calls }) => calls > 0)?.kill()
    assert.deepEqual(await answer, { status: 200, body: events.join(''), view: CallerView.Complete })
    assert.deepEqual(online.outcomes, [SlotOutcome.Stopped, SlotOutcome.Finished])
  })

  it('does not run a request again whose relay was lost, and does not say that it has not run', async context => {
    const { online, relay } = await start(context, singleRunRoute, {
      serve: socket => {
        socket.once('data', () => {
          socket.write(head)
          relay.peers.forEach(peer => { peer.kill() })
        })
      },
      peers: [true, false]
    })
    await relay.cut(Cut.Refuse)
    const { status } = await online.call(CallerKind.KeepAlive)
    assert.equal(status, 502)
    assert.equal(relay.accepted.length, 1)
    assert.deepEqual(online.outcomes, [SlotOutcome.Stopped])
  })

  it('resumes a stream through another peer after its relay was lost', async context => {
    const { online, relay } = await start(context, resumableRoute, { serve: socket => { serveEvents(socket, runMilliseconds) }, peers: [true, true] })
    await relay.cut(Cut.Refuse)
    const answer = online.call(CallerKind.KeepAlive)
    while (relay.accepted.length === 0) {
      await sleep(1)
    }
    await sleep(runMilliseconds / 2)
    relay.peers.find(({ calls }) => calls > 0)?.kill()
    assert.deepEqual(await answer, { status: 200, body: events.join(''), view: CallerView.Complete })
    assert.deepEqual(online.outcomes, [SlotOutcome.Stopped, SlotOutcome.Finished])
  })

  it('refuses a request as not run, and reports nothing against targets, if its peers are cut off as well', async context => {
    const { online, relay } = await start(context, singleRunRoute, { serve: () => {}, peers: [true, false] })
    await relay.cut(Cut.Refuse)
    for (const peer of relay.peers) {
      peer.isCut = true
      peer.paths.recordDirectFailure('another', targets, Date.now())
    }
    const { status } = await online.call(CallerKind.KeepAlive)
    assert.equal(status, 503)
    // The first of the attempts that no path leads to a target for might be a matter of the peers that were asked.
    assert.deepEqual(online.outcomes, [SlotOutcome.NotRun, SlotOutcome.NotRun])
  })
})

describe('an instance that reaches its targets', () => {
  it('reports a crash of a target that only closes its connections as before, while the request goes on at another target', async context => {
    const { online, relay } = await start(context, resumableRoute, {
      serve: socket => {
        if (relay.accepted.length === 1) {
          socket.once('data', () => {
            setTimeout(() => { void relay.endTarget(1) }, runMilliseconds)
          })
        } else {
          serveEvents(socket, 1)
        }
      }
    })
    assert.deepEqual(await online.call(CallerKind.KeepAlive), { status: 200, body: events.join(''), view: CallerView.Complete })
    await sleep(releaseMilliseconds)
    assert.deepEqual(online.outcomes.toSorted(), [SlotOutcome.Crashed, SlotOutcome.Finished])
  })
})
