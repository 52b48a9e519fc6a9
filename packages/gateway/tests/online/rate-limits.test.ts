/** Tests which heads of answers tell of the rate limit of a target. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { CallerKind, ConnectionEnd, OnlineHarness } from '../util/online-harness.js'

const route: Route = { name: 'r', host: 'h', prefix: '/p/', services: [], timeoutMilliseconds: 2_000, objectiveMilliseconds: 1_000, priority: 0, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0, kind: RouteKind.SingleRun, maxAttempts: 3, resumable: false }

function responseOf (status: string, headers: string, id = 'id'): string {
  return `HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\n${headers}Content-Length: 2\r\n\r\nok`
}

/** Serves a request by these responses, one an attempt; returns what was told of the rate limit. */
async function rateLimitsOf (...responses: readonly string[]): Promise<ReadonlyArray<number | null>> {
  const harness = await OnlineHarness.start(route, responses.map(bytes => ({ bytes, end: ConnectionEnd.None })))
  try {
    const { status } = await harness.call(CallerKind.KeepAlive)
    assert.equal(status, 200)
    return harness.rateLimits
  } finally {
    harness.close()
  }
}

describe('the rate limit of a target', () => {
  it('is told by the head of an answer, and by a head without one that there is none', async () => {
    assert.deepEqual(await rateLimitsOf(responseOf('200 OK', 'X-Rate-Limit: 2.5\r\n')), [2.5])
    assert.deepEqual(await rateLimitsOf(responseOf('200 OK', 'X-Rate-Limit: 0\r\n')), [0])
    assert.deepEqual(await rateLimitsOf(responseOf('200 OK', '')), [null])
  })

  it('is told by a rejection, but not that there is none', async () => {
    const rejection = 'X-Not-Executed: 1\r\n'
    assert.deepEqual(await rateLimitsOf(responseOf('503 Full', `${rejection}X-Rate-Limit: 2\r\n`), responseOf('200 OK', 'X-Rate-Limit: 3\r\n')), [2, 3])
    assert.deepEqual(await rateLimitsOf(responseOf('503 Full', rejection), responseOf('200 OK', 'X-Rate-Limit: 3\r\n')), [3])
  })

  it('is not told by another target at the address, nor by an answer to another request', async () => {
    assert.deepEqual(await rateLimitsOf(responseOf('421 Misdirected', 'X-Rate-Limit: 2\r\n'), responseOf('200 OK', 'X-Rate-Limit: 3\r\n')), [3])
    assert.deepEqual(await rateLimitsOf(responseOf('200 OK', 'X-Rate-Limit: 2\r\n', 'other') + responseOf('200 OK', 'X-Rate-Limit: 3\r\n')), [3])
  })

  it('is not told by two headers that differ, and is by two that do not', async () => {
    assert.deepEqual(await rateLimitsOf(responseOf('200 OK', 'X-Rate-Limit: 2\r\nx-rate-limit: 3\r\n')), [])
    assert.deepEqual(await rateLimitsOf(responseOf('200 OK', 'X-Rate-Limit: 2\r\nx-rate-limit: 2\r\n')), [2])
  })

  for (const odd of ['', '-1', '+1', '1e400', '9'.repeat(400), '1,5', '0x10', 'none', '1.', '.5', 'NaN', 'Infinity']) {
    it(`is not told by ${JSON.stringify(odd.slice(0, 20))}, which neither begins nor ends one`, async () => {
      assert.deepEqual(await rateLimitsOf(responseOf('200 OK', `X-Rate-Limit: ${odd}\r\n`)), [])
    })
  }
})
