/** Tests what becomes of a request whose target sends nothing for a second and then goes on. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { CallerKind, CallerView, ConnectionEnd, OnlineHarness } from '../util/online-harness.js'

const common = { name: 'r', host: 'h', prefix: '/p/', services: [], timeoutMilliseconds: 4_000, objectiveMilliseconds: 300, priority: 0, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0 }
const plainRoute: Route = { ...common, kind: RouteKind.Idempotent, maxAttempts: 2, resumable: false }
const resumableRoute: Route = { ...common, kind: RouteKind.Stream, maxAttempts: 2, resumable: true }
const silenceMilliseconds = 1_000
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
