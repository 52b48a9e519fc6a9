/** Tests what callers are told of answers that their target resets while the event loop of the instance is busy. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { CallerKind, CallerView, ConnectionEnd, OnlineHarness } from '../util/online-harness.js'
import type { CallerAnswer, ScriptedAnswer } from '../util/online-harness.js'
import { startResettingTarget } from '../util/resetting-target.js'

/** Time for which the event loop is blocked again and again, which is longer than the target takes from the request to the reset. */
const busyMilliseconds = 10
const targetDelayMilliseconds = 2
const rounds = 10

const head = 'HTTP/1.1 200 S\r\nX-Request-Id: id\r\n'
const events = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'] as const
const whole = events.join('')
const common = { name: 'r', host: 'h', prefix: '/p/', services: [], timeoutMilliseconds: 2_000, objectiveMilliseconds: 1_000, priority: 0, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0 }
const singleRunRoute: Route = { ...common, kind: RouteKind.SingleRun, maxAttempts: 2, resumable: false }
const idempotentRoute: Route = { ...common, kind: RouteKind.Idempotent, maxAttempts: 2, resumable: false }
const streamRoute: Route = { ...common, kind: RouteKind.Stream, maxAttempts: 1, resumable: false }
const resumableRoute: Route = { ...common, kind: RouteKind.Stream, maxAttempts: 2, resumable: true }

/** Returns the answers that callers get of a target that resets behind the bytes; later attempts get the scripted answers. */
async function answersOnBusyLoop (context: TestContext, route: Route, bytes: string, answers: readonly ScriptedAnswer[]): Promise<readonly CallerAnswer[]> {
  const target = await startResettingTarget({ bytes, delayMilliseconds: targetDelayMilliseconds })
  const busy = setInterval(() => {
    const end = Date.now() + busyMilliseconds
    while (Date.now() < end);
  })
  context.after(async () => {
    clearInterval(busy)
    await target.close()
  })
  const received: CallerAnswer[] = []
  for (let round = 0; round < rounds; round += 1) {
    const harness = await OnlineHarness.start(route, answers, { firstTargets: [target.address] })
    received.push(await harness.call(CallerKind.KeepAlive))
    harness.close()
  }
  return received
}

describe('an answer without framing that its target resets beside a busy event loop', () => {
  it('is not taken for complete: a plain answer that may run once', async context => {
    const answers = await answersOnBusyLoop(context, singleRunRoute, `${head}\r\nhalf`, [])
    assert.deepEqual(answers.map(({ status, view }) => [status, view]), new Array(rounds).fill([502, CallerView.Complete]))
  })

  it('is not taken for complete: a stream between two events', async context => {
    const answers = await answersOnBusyLoop(context, streamRoute, `${head}\r\n${events[0]}`, [])
    assert.deepEqual(answers.map(({ body, view }) => [body, view]), new Array(rounds).fill([events[0], CallerView.Broken]))
  })

  it('is continued by another target: a stream that may be resumed', async context => {
    const rest = `${head}Transfer-Encoding: chunked\r\n\r\n${(whole.length - events[0].length).toString(16)}\r\n${events[1]}${events[2]}\r\n0\r\n\r\n`
    const answers = await answersOnBusyLoop(context, resumableRoute, `${head}\r\n${events[0]}`, [{ bytes: rest, end: ConnectionEnd.None }])
    assert.deepEqual(answers.map(({ body }) => body), new Array(rounds).fill(whole))
  })

  it('is asked for at another target: a plain answer that may be repeated', async context => {
    const answers = await answersOnBusyLoop(context, idempotentRoute, `${head}\r\nhalf`, [{ bytes: `${head}Content-Length: 5\r\n\r\nwhole`, end: ConnectionEnd.None }])
    assert.deepEqual(answers.map(({ body, view }) => [body, view]), new Array(rounds).fill(['whole', CallerView.Complete]))
  })
})
