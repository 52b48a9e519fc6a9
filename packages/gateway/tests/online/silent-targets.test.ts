/** Tests what becomes of a request whose target sends nothing for a second and then goes on. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteKind, SlotOutcome } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { sleep } from '../../src/util/sleep.js'
import { CallerKind, CallerView, ConnectionEnd, OnlineHarness } from '../util/online-harness.js'

const common = { name: 'r', host: 'h', prefix: '/p/', services: [], timeoutMilliseconds: 4_000, objectiveMilliseconds: 300, priority: 0, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0 }
const plainRoute: Route = { ...common, kind: RouteKind.Idempotent, maxAttempts: 2, resumable: false }
const resumableRoute: Route = { ...common, kind: RouteKind.Stream, maxAttempts: 2, resumable: true }
const silenceMilliseconds = 1_000
/** Time without an event after which a client leaves. */
const clientGapMilliseconds = 2_000
/** Longer than the silence after which another target is tried. */
const pauseMilliseconds = 1_700
/** Time after which another target has a slot; the silence is longer by then. */
const slotFreeMilliseconds = 1_500
/** More bytes than are held for the end of an answer. */
const long = 'x'.repeat(70_000)
const answerOfOther = 'HTTP/1.1 200 S\r\nX-Request-Id: id\r\nContent-Length: 5\r\n\r\nother'

describe('an answer that has begun', () => {
  const answers = {
    'plain, with a length': [plainRoute, 'Content-Length: 9', 'begin', 'rest'],
    'plain, without framing': [plainRoute, 'X: y', long, 'rest'],
    'a stream without ids': [resumableRoute, 'Transfer-Encoding: chunked', '9\r\ndata: a\n\n\r\n', '9\r\ndata: b\n\n\r\n0\r\n\r\n']
  } as const

  for (const [kind, [route, framing, begin, rest]] of Object.entries(answers)) {
    it(`is not broken off for its target's silence if no other target can go on with it: ${kind}`, async context => {
      const first = { bytes: `HTTP/1.1 200 S\r\nX-Request-Id: id\r\n${framing}\r\n\r\n${begin}`, later: { bytes: rest, afterMilliseconds: silenceMilliseconds }, end: ConnectionEnd.Close }
      const harness = await OnlineHarness.start(route, [first, { bytes: answerOfOther, end: ConnectionEnd.None }])
      context.after(() => { harness.close() })
      const { status, view } = await harness.call(CallerKind.KeepAlive)
      assert.deepEqual([status, view, harness.arrivals.length], [200, CallerView.Complete, 1])
    })
  }
})

describe('a stream that may be resumed', () => {
  const head = 'HTTP/1.1 200 S\r\nX-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n'
  const event = (id: number): string => `10\r\nid: ${id}\ndata: ab\n\n\r\n`
  const end = '0\r\n\r\n'
  const places = {
    'before its head': ['', `${head}${event(1)}${event(2)}${end}`],
    'before its first event': [head, `${event(1)}${event(2)}${end}`],
    'between two events': [`${head}${event(1)}`, `${event(2)}${end}`]
  } as const

  for (const [place, [begin, rest]] of Object.entries(places)) {
    it(`is not broken off or failed for its target's silence if no other target has a slot: ${place}`, async context => {
      const harness = await OnlineHarness.start(resumableRoute, [{ bytes: begin, later: { bytes: rest, afterMilliseconds: silenceMilliseconds }, end: ConnectionEnd.None }])
      context.after(() => { harness.close() })
      const { status, view, body } = await harness.call(CallerKind.KeepAlive)
      assert.deepEqual([status, view, body, harness.arrivals.length], [200, CallerView.Complete, 'id: 1\ndata: ab\n\nid: 2\ndata: ab\n\n', 1])
    })
  }

  it('goes on at another target as soon as that has a slot, if its target stays silent', async context => {
    const silent = { bytes: `${head}${event(1)}`, end: ConnectionEnd.None }
    const harness = await OnlineHarness.start(resumableRoute, [silent])
    context.after(() => { harness.close() })
    const answer = harness.call(CallerKind.KeepAlive)
    await sleep(slotFreeMilliseconds)
    harness.addAnswer({ bytes: `${head}${event(2)}${end}`, end: ConnectionEnd.None })
    const { status, view, body } = await answer
    assert.deepEqual([status, view, body, harness.arrivals.length], [200, CallerView.Complete, 'id: 1\ndata: ab\n\nid: 2\ndata: ab\n\n', 2])
    assert.match(harness.arrivals[1] ?? '', /Last-Event-Id: 1\r\n/)
  })

  it('does not go to another target for a pause of this process', async context => {
    const blockLoop = (): void => {
      const end = Date.now() + pauseMilliseconds
      while (Date.now() < end);
    }
    const first = { bytes: `${head}${event(1)}`, later: { bytes: `${event(2)}${end}`, afterMilliseconds: 100, onSent: blockLoop }, end: ConnectionEnd.None }
    const harness = await OnlineHarness.start(resumableRoute, [first, { bytes: `${head}${event(2)}${end}`, end: ConnectionEnd.None }])
    context.after(() => { harness.close() })
    const { status, view, body } = await harness.call(CallerKind.KeepAlive)
    assert.deepEqual([status, view, body, harness.arrivals.length], [200, CallerView.Complete, 'id: 1\ndata: ab\n\nid: 2\ndata: ab\n\n', 1])
    assert.deepEqual(harness.outcomes, [SlotOutcome.Finished])
  })
})

describe('a target that is silent for a second and goes on', () => {
  const head = 'HTTP/1.1 200 S\r\nX-Request-Id: id\r\nContent-Length: 32\r\n\r\n'
  const [first, second] = ['id: 1\ndata: ab\n\n', 'id: 2\ndata: ab\n\n']
  const places = {
    'before its head': ['', `${head}${first}${second}`],
    'before its first event': [head, `${first}${second}`],
    'between two events': [`${head}${first}`, second]
  } as const
  const other = { bytes: `HTTP/1.1 200 S\r\nX-Request-Id: id\r\nContent-Length: 16\r\n\r\n${second}`, end: ConnectionEnd.None }

  for (const [kind, route] of Object.entries({ 'a stream that may be resumed': resumableRoute, 'a plain answer that may be repeated': plainRoute })) {
    for (const [place, [begin, rest]] of Object.entries(places)) {
      it(`keeps its request, and counts as sound: ${kind}, ${place}`, async () => {
        await Promise.all([1_000, 1_150, 1_300].map(async afterMilliseconds => {
          const harness = await OnlineHarness.start(route, [{ bytes: begin, later: { bytes: rest, afterMilliseconds }, end: ConnectionEnd.None }, other])
          const { status, body, view } = await harness.call(CallerKind.KeepAlive, { deadlineMilliseconds: 5_000 })
          harness.close()
          assert.deepEqual([status, body, view, harness.arrivals.length], [200, first + second, CallerView.Complete, 1], `${afterMilliseconds} ms`)
          assert.deepEqual(harness.outcomes, [SlotOutcome.Finished])
        }))
      })
    }
  }
})

describe('a target that hangs', () => {
  const event = 'id: 1\ndata: ab\n\n'
  const head = 'HTTP/1.1 200 S\r\nX-Request-Id: id\r\nContent-Length: 99\r\n\r\n'
  const other = { bytes: `HTTP/1.1 200 S\r\nX-Request-Id: id\r\nContent-Length: 16\r\n\r\n${event}`, end: ConnectionEnd.None }

  for (const [place, begin] of [['before its head', ''], ['before its first event', head], ['between two events', `${head}${event}`]] as const) {
    it(`loses its request before a client would leave, and counts as unreachable: ${place}`, async context => {
      const rest = begin.endsWith(event) ? { ...other, bytes: other.bytes.replace('id: 1', 'id: 2') } : other
      const harness = await OnlineHarness.start(resumableRoute, [{ bytes: begin, end: ConnectionEnd.None }, rest])
      context.after(() => { harness.close() })
      const startedAt = Date.now()
      const { status, view } = await harness.call(CallerKind.KeepAlive, { deadlineMilliseconds: 5_000 })
      assert.deepEqual([status, view, harness.arrivals.length], [200, CallerView.Complete, 2])
      assert.ok(Date.now() - startedAt < clientGapMilliseconds, `took ${Date.now() - startedAt} ms`)
      assert.deepEqual(harness.outcomes, [SlotOutcome.Unreachable, SlotOutcome.Finished])
    })
  }
})
