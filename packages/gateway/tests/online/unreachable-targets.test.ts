/** Tests what callers get when the first target of their request cannot be connected to. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteKind, SlotOutcome } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { TargetConnection } from '../../src/targets/target-connection.js'
import { CallerKind, ConnectionEnd, OnlineHarness } from '../util/online-harness.js'

const common = { name: 'r', host: 'h', prefix: '/p/', services: [], timeoutMilliseconds: 2_000, objectiveMilliseconds: 1_000, priority: 0, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0 }
const singleRunRoute: Route = { ...common, kind: RouteKind.SingleRun, maxAttempts: 1, resumable: false }
const answer = { bytes: 'HTTP/1.1 200 S\r\nX-Request-Id: id\r\nContent-Length: 2\r\n\r\nok', end: ConnectionEnd.None }

describe('a request whose first target has a port that no connection can be opened to', () => {
  it('is served by the next target, and the slot is given back', async () => {
    const harness = await OnlineHarness.start(singleRunRoute, [answer], { firstTargets: ['127.0.0.1:65536'] })
    const { status, body } = await Promise.race([
      harness.call(CallerKind.KeepAlive),
      new Promise<{ status: number, body: string }>(resolve => { setTimeout(() => { resolve({ status: 0, body: 'no answer' }) }, 2_000) })
    ])
    harness.close()
    assert.deepEqual([status, body], [200, 'ok'])
    assert.deepEqual(harness.outcomes, [SlotOutcome.Unreachable, SlotOutcome.Finished])
  })
})

describe('a request whose sending fails with an error', () => {
  it('gives its slot back', async context => {
    context.mock.method(TargetConnection.prototype, 'send', () => { throw new Error('cannot send') })
    const harness = await OnlineHarness.start(singleRunRoute, [answer])
    const failure = new Promise<Error>(resolve => { harness.onError = resolve })
    void harness.call(CallerKind.KeepAlive)
    assert.equal((await failure).message, 'cannot send')
    harness.close()
    assert.deepEqual(harness.outcomes, [SlotOutcome.Stopped])
  })
})
