/** Guards against acting on a response to another request, for example on a late copy of a rejection: requests then ran twice, or were told as not run although they ran. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { CallerKind, CallerView, ConnectionEnd, OnlineHarness } from '../util/online-harness.js'
import type { CallerAnswer, ScriptedAnswer } from '../util/online-harness.js'

const common = { name: 'r', host: 'h', prefix: '/p/', services: [], timeoutMilliseconds: 2_000, objectiveMilliseconds: 1_000, priority: 0, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0 }
const singleRunRoute: Route = { ...common, kind: RouteKind.SingleRun, maxAttempts: 3, resumable: false }
const streamRoute: Route = { ...common, kind: RouteKind.Stream, maxAttempts: 3, resumable: false }
const resumableRoute: Route = { ...common, kind: RouteKind.Stream, maxAttempts: 1, resumable: true }

const event = 'id: 1\ndata: a\n\n'
const badGatewayStatus = 502
const gatewayTimeoutStatus = 504
const okStatus = 200

/** Header lines of the id of another request, and of none. */
const foreignIds = ['X-Request-Id: other\r\n', '']

function responseOf (head: string, body = ''): string {
  return `HTTP/1.1 ${head}Content-Length: ${body.length}\r\n\r\n${body}`
}

const own = responseOf('200 OK\r\nX-Request-Id: id\r\nX-Signature: s\r\n', event)

async function answerTo (route: Route, answers: readonly ScriptedAnswer[]): Promise<{ readonly answer: CallerAnswer, readonly harness: OnlineHarness }> {
  const harness = await OnlineHarness.start(route, answers)
  try {
    return { answer: await harness.call(CallerKind.KeepAlive), harness }
  } finally {
    harness.close()
  }
}

function describeRun ({ arrivals, logLines }: OnlineHarness): string {
  return [...arrivals, ...logLines].join('\n')
}

describe('a response to another request', () => {
  for (const status of [200, 204, 400, 408, 421, 422, 429, 500, 503]) {
    for (const extra of ['X-Not-Executed: 1\r\n', 'X-Leaving: 1\r\n', '']) {
      for (const route of [singleRunRoute, streamRoute, resumableRoute]) {
        it(`does not make a request run twice: status ${status}, ${JSON.stringify(extra)}, ${route.kind}, resumable ${route.resumable}`, async () => {
          for (const id of foreignIds) {
            const foreign = responseOf(`${status} S\r\n${id}${extra}`, status === 204 ? '' : 'other body')
            // The request runs, and its own response follows.
            const followed = await answerTo(route, [{ bytes: foreign + own, end: ConnectionEnd.None }, { bytes: own, end: ConnectionEnd.None }])
            assert.deepEqual(followed.answer, { status: okStatus, body: event, view: CallerView.Complete })
            assert.equal(followed.harness.arrivals.length, 1, describeRun(followed.harness))
            // The request may run, but its response never comes.
            const lone = await answerTo(route, [{ bytes: foreign, end: ConnectionEnd.Reset }, { bytes: own, end: ConnectionEnd.None }])
            assert.equal(lone.answer.status, badGatewayStatus)
            assert.equal(lone.harness.arrivals.length, 1, describeRun(lone.harness))
          }
        })
      }
    }
  }

  it('is skipped in chunks, beyond the size that is held, and more than once', async () => {
    const head = '200 OK\r\nX-Request-Id: other\r\n'
    const chunked = `HTTP/1.1 ${head}Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n`
    for (const foreign of [chunked, responseOf(head, 'x'.repeat(1_000_000)), chunked + chunked]) {
      const { answer, harness } = await answerTo(singleRunRoute, [{ bytes: foreign + own, end: ConnectionEnd.None }])
      assert.deepEqual(answer, { status: okStatus, body: event, view: CallerView.Complete }, describeRun(harness))
      assert.ok(harness.logLines.some(line => line.includes('response to another request skipped')))
    }
  })

  it('breaks the call off if nobody knows where it ends, and passes nothing of it on', async () => {
    const head = '200 OK\r\nX-Request-Id: other\r\n'
    const unframed = `HTTP/1.1 ${head}\r\n${own}`
    const endless = `HTTP/1.1 ${head}Content-Length: 9000000\r\n\r\n${'x'.repeat(1_100_000)}`
    for (const bytes of [unframed, endless]) {
      const { answer, harness } = await answerTo(singleRunRoute, [{ bytes, end: ConnectionEnd.None }, { bytes: own, end: ConnectionEnd.None }])
      assert.equal(answer.status, badGatewayStatus)
      assert.equal(answer.body.includes('x'.repeat(10)), false)
      assert.equal(harness.arrivals.length, 1)
    }
    // One that pauses is waited for, as the request's own response is.
    const paused = `HTTP/1.1 ${head}Transfer-Encoding: chunked\r\n\r\n5\r\noth`
    const { answer, harness } = await answerTo({ ...singleRunRoute, timeoutMilliseconds: 300 }, [{ bytes: paused, end: ConnectionEnd.None }, { bytes: own, end: ConnectionEnd.None }])
    assert.equal(answer.status, gatewayTimeoutStatus)
    assert.equal(harness.arrivals.length, 1)
  })
})
