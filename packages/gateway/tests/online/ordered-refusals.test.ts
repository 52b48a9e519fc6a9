/** Tests that operators see what put a refused request of a client account behind others. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { DrainAdmission, OrderCause, RefusalReason, RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { createOnlineRequest, GatewayMetrics, TargetConnections } from '../../src/index.js'
import type { HeaderNames, SlotClient } from '../../src/index.js'
import { CallerBudgets } from '../../src/online/caller-budgets.js'
import { OnlineRun } from '../../src/online/online-run.js'
import type { SlotRejection } from '../../src/permits/slot.js'
import { createTestLogger } from '../util/test-logger.js'

const names: HeaderNames = { requestId: 'x-request-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notExecuted: 'x-not-executed', targetLeaving: 'x-leaving', rateLimit: 'x-rate-limit', promptPrefix: 'x-prefix', resumes: 'x-resumes', wait: 'x-wait' }
const route: Route = { name: 'r', host: 'h', prefix: '/p/', services: [], kind: RouteKind.Idempotent, maxAttempts: 1, resumable: false, timeoutMilliseconds: 2_000, objectiveMilliseconds: 1_000, priority: 0, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0 }
const rejection: SlotRejection = { granted: false, reason: RefusalReason.Busy, retryAfter: 40 }

/** Refuses requests with these results, and returns the lines `refused` and the samples of the counter. */
async function refuse (rejections: readonly SlotRejection[]): Promise<{ readonly lines: ReadonlyArray<Record<string, unknown>>, readonly samples: readonly string[] }> {
  const lines: string[] = []
  const metrics = new GatewayMetrics()
  const connections = new TargetConnections()
  const left = [...rejections]
  const slots = { acquire: async () => left.shift() ?? rejection } as unknown as SlotClient
  const server = createServer((request, response) => {
    const online = createOnlineRequest(request, Buffer.alloc(0), route, 's', names, new CallerBudgets(), Date.now())
    void new OnlineRun({
      slots, connections, origins: { record: () => {}, ask: async () => null }, isSoleService: () => true, drainAdmission: new DrainAdmission(), ending: new AbortController().signal, names, metrics, logger: createTestLogger(lines)
    }, online, response).run()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  for (const _ of rejections) {
    const response = await fetch(`http://127.0.0.1:${port}/p/x`, { headers: { 'x-request-id': 'id', connection: 'close' } })
    assert.equal(response.status, 503)
    await response.arrayBuffer()
  }
  connections.close()
  server.close()
  const text = await metrics.registry.metrics()
  return {
    lines: lines.map(line => JSON.parse(line) as Record<string, unknown>),
    samples: text.split('\n').filter(line => line.startsWith('arbutus_gateway_ordered_refusals_total{'))
  }
}

describe('a refusal of a request of a client account', () => {
  it('is logged with cause, rank and position, and counted by cause and rank in a bounded number of series', async () => {
    const { lines, samples } = await refuse([
      { ...rejection, standing: { cause: OrderCause.Share, rank: 2, position: 31 } },
      { ...rejection, standing: { cause: OrderCause.Rank, rank: 12, position: 5 } },
      { ...rejection, standing: { cause: OrderCause.Rank, rank: 900, position: 5 } }
    ])
    assert.deepEqual(lines.map(line => line['order']), [{ cause: 'share', rank: 2, position: 31 }, { cause: 'rank', rank: 12, position: 5 }, { cause: 'rank', rank: 900, position: 5 }])
    assert.deepEqual(samples, ['arbutus_gateway_ordered_refusals_total{cause="share",rank="2"} 1', 'arbutus_gateway_ordered_refusals_total{cause="rank",rank="others"} 2'])
  })

  it('leaves log line and counter as they were where the deployment has no accounts', async () => {
    const { lines, samples } = await refuse([rejection])
    assert.deepEqual([lines.length, lines.some(line => 'order' in line), samples], [1, false, []])
  })
})
