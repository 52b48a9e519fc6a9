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
/** Longer than the silence after which another target is tried. */
const pauseMilliseconds = 1_500
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
    await sleep(1_000)
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
