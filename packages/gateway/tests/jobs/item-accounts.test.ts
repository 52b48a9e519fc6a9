/** Guards against keys of clients in requests that run items, and against items that are not told apart by account. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { AccountDirectory, RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { ItemRun } from '../../src/jobs/item-run.js'
import type { Job } from '../../src/jobs/job.js'
import type { SlotDemand } from '../../src/permits/slot.js'
import { TargetConnections } from '../../src/targets/target-connections.js'
import { createTestLogger } from '../util/test-logger.js'

const names = { requestId: 'x-request-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notExecuted: 'x-not-executed', targetLeaving: 'x-leaving', rateLimit: 'x-rate-limit', promptPrefix: 'x-prompt-prefix', resumes: 'x-resumes', wait: 'x-wait', account: 'x-account' }
const route = { name: 'r', host: 'h', kind: RouteKind.Batch, maxAttempts: 3, completionMilliseconds: 10_000, retentionMilliseconds: 60_000, services: [{ service: 's', weight: 1 }], priority: 4 } as unknown as Route
const headers = ['Authorization', 'Bearer secret', 'X-Account', 'another', 'aUTHORIZATION', 'Bearer secret', 'X-Model', 'm']

/** Runs an item to its end; returns the raw headers that its target got and the demand for its slot. */
async function run (context: TestContext, account: string | undefined, accounts: AccountDirectory | null): Promise<{ readonly received: readonly string[], readonly demand: SlotDemand | undefined }> {
  const received: string[] = []
  const demands: SlotDemand[] = []
  const server = createServer((request, response) => {
    received.push(...request.rawHeaders)
    response.writeHead(200, { 'x-request-id': 'i', 'content-type': 'text/event-stream', 'content-length': 15 }).end('id: 1\ndata: a\n\n')
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const connections = new TargetConnections()
  context.after(() => {
    connections.close()
    server.close()
  })
  const item = { id: 'i', path: '/p', headers, body: Buffer.from('b'), tokens: 30 }
  const job: Job = { id: 'j', route: 'r', items: [item], acceptedAt: Date.now(), acceptedBy: 'a', bodyParts: 1, results: [], finished: new Set(), ended: false, ...(account === undefined ? {} : { account }) }
  await new ItemRun({
    slots: {
      acquire: async demand => {
        demands.push(demand)
        return { granted: true, slot: { permit: 'p', target: { id: 't', address, born: 1, softwareVersion: 'v1' }, revoked: new AbortController().signal, markLeaving: () => {}, recordRateLimit: () => {}, markSound: () => {}, release: () => {} } }
      }
    },
    connections,
    names,
    logger: createTestLogger(),
    routeOf: () => route,
    refreshRoutes: async () => true,
    serviceOf: () => 's',
    accounts: () => accounts
  }, job, item, Promise.resolve(null)).run()
  return { received, demand: demands[0] }
}

function valuesOf (raw: readonly string[], name: string): readonly string[] {
  return raw.filter((_, index) => index % 2 === 1 && raw[index - 1]?.toLowerCase() === name)
}

describe('ItemRun', () => {
  const directory = (rank: number | null): AccountDirectory => new AccountDirectory([{ name: 'a', keys: [], rank, requestsPerSecond: 1, burst: 1 }])

  it('tells targets the account of the job and no key, whatever its item carries, and asks for slots in its name', async context => {
    for (const [accounts, rank] of [[directory(2), 2], [directory(null), 4], [null, 4]] as const) {
      const { received, demand } = await run(context, 'a', accounts)
      assert.deepEqual([valuesOf(received, 'authorization'), valuesOf(received, 'x-account'), valuesOf(received, 'x-model')], [[], ['a'], ['m']])
      assert.deepEqual(demand?.caller, { account: 'a', rank, tokens: 30, isCounted: true })
    }
  })

  it('tells targets neither for a job of no account', async context => {
    const { received, demand } = await run(context, undefined, directory(2))
    assert.deepEqual([valuesOf(received, 'authorization'), valuesOf(received, 'x-account'), valuesOf(received, 'x-model')], [[], [], ['m']])
    assert.equal(demand?.caller, undefined)
  })

  it('passes all headers on where there are no accounts, and asks for slots as before', async context => {
    const { received, demand } = await run(context, undefined, null)
    assert.deepEqual([valuesOf(received, 'authorization').length, valuesOf(received, 'x-account')], [2, ['another']])
    assert.ok(demand !== undefined && !('caller' in demand))
  })
})
