/** Tests how long calls about jobs wait for the log, and which callers see a job. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { AppendOutcome, ItemState, JobApi, JobCallOutcome, JobPartition, resultRecord, submissionRecords } from '../../src/index.js'
import type { JobCaller, KeyedRecord, KeyedTopic, TokenRequest } from '../../src/index.js'
import { FaultyLog } from '../util/faulty-topic.js'
import { createTestLogger } from '../util/test-logger.js'

/** Time allowed for a forwarded read; an owner that does not answer within it counts as unresponsive. */
const readMilliseconds = 900
/** Maximum age of results that are read without reading the log. */
const maximumAgeMilliseconds = 700

describe('JobApi', () => {
  it('answers before its peers give up if the partition takes long to load', async () => {
    const logger = createTestLogger()
    const topic: KeyedTopic = {
      newest: async () => await new Promise(() => {}),
      read: async () => ({ records: [], end: 0, isComplete: true }),
      append: async () => AppendOutcome.Refused
    }
    const partition = new JobPartition(0, topic, logger)
    const ledger = { reserve: async () => ({ granted: true, waiting: 0 } as const), settle: () => {} }
    const api = new JobApi({ numberOf: () => 0, get: () => partition, isOwn: () => true }, ledger, () => 'process', logger)
    const startedAt = performance.now()
    const outcomes = await Promise.all([api.results('job', 0, 0), api.body('job', 'item'), api.end('job')])
    assert.deepEqual(outcomes, [JobCallOutcome.Unavailable, JobCallOutcome.Unavailable, JobCallOutcome.Unavailable])
    assert.ok(performance.now() - startedAt < readMilliseconds)
    assert.ok(api.outageMilliseconds('job') > 0)
  })

  it('reads results anew after the clock was set back, however far', async context => {
    const logger = createTestLogger()
    const item = { id: 'item', path: '/', headers: [], body: Buffer.from('body'), tokens: 1 }
    const records: KeyedRecord[] = submissionRecords({ id: 'job', route: 'route', items: [item] }, 0, 'process').map((record, offset) => ({ ...record, offset }))
    const topic: KeyedTopic = {
      newest: async () => ({ records, end: records.length, isComplete: true }),
      read: async from => ({ records: records.slice(from), end: records.length, isComplete: true }),
      append: async () => AppendOutcome.Refused
    }
    const partition = new JobPartition(0, topic, logger)
    const ledger = { reserve: async () => ({ granted: true, waiting: 0 } as const), settle: () => {} }
    const api = new JobApi({ numberOf: () => 0, get: () => partition, isOwn: () => true }, ledger, () => 'process', logger)
    let timeOfDay = 1_000_000
    let steadyTime = 5_000
    context.mock.method(Date, 'now', () => timeOfDay)
    context.mock.method(performance, 'now', () => steadyTime)
    await partition.refresh()
    records.push({ ...resultRecord('job', 0, ItemState.Completed, 'text'), offset: records.length })
    timeOfDay -= 10_000
    steadyTime += maximumAgeMilliseconds + 1
    const page = await api.results('job', 0, 0)
    assert.ok(typeof page !== 'string')
    assert.deepEqual(page.results.map(({ id }) => id), ['item'])
  })

  describe('with client accounts', () => {
    const items = [{ id: 'item', path: '/', headers: [], body: Buffer.from('body'), tokens: 1 }]
    const route = { name: 'r', kind: RouteKind.Batch, timeoutMilliseconds: 1_000, waitingTokens: 0 } as unknown as Route
    const reserved: TokenRequest[] = []
    const ledger = {
      reserve: async (_: JobPartition, request: TokenRequest) => {
        reserved.push(request)
        return { granted: true, waiting: 0 } as const
      },
      settle: () => {}
    }

    function startApi (log = new FaultyLog(() => 0.5)): JobApi {
      Object.assign(log.faults, { rejectedAppend: 0, lostResponse: 0, lateAppend: 0, failedRead: 0 })
      const logger = createTestLogger()
      const partition = new JobPartition(0, log.connect(), logger)
      return new JobApi({ numberOf: () => 0, get: () => partition, isOwn: () => true }, ledger, () => 'process', logger)
    }

    const owner: JobCaller = { account: 'a' }
    const other: JobCaller = { account: 'b' }
    const nobody: JobCaller = { account: '' }

    it('shows a job to its account only, at every instance', async () => {
      const log = new FaultyLog(() => 0.5)
      assert.equal(await startApi(log).submit(route, 'job', items, owner), JobCallOutcome.Ok)
      assert.equal(reserved.at(-1)?.account, 'a')
      for (const api of [startApi(log), startApi(log)]) {
        for (const caller of [other, nobody]) {
          assert.deepEqual(await Promise.all([api.results('job', 0, 0, caller), api.body('job', 'item', caller), api.end('job', caller)]), Array(3).fill(JobCallOutcome.NotFound))
        }
        assert.equal((await api.body('job', 'item', owner)).toString(), 'body')
        assert.equal(typeof await api.results('job', 0, 0, owner), 'object')
      }
      assert.equal(await startApi(log).end('job', owner), JobCallOutcome.Ok)
    })

    it('shows a job of no account to all callers', async () => {
      for (const submitter of [nobody, undefined]) {
        const api = startApi()
        assert.equal(await api.submit(route, 'job', items, submitter), JobCallOutcome.Ok)
        for (const caller of [owner, other, nobody, undefined]) {
          assert.equal((await api.body('job', 'item', caller)).toString(), 'body')
          assert.equal(await api.submit(route, 'job', items, caller), JobCallOutcome.Ok)
        }
      }
    })

    it('accepts no job under the id of a job of another account, also if both come at once', async () => {
      const api = startApi()
      const outcomes = await Promise.all([api.submit(route, 'job', items, owner), api.submit(route, 'job', items, other)])
      assert.deepEqual([...outcomes].sort(), [JobCallOutcome.Ok, JobCallOutcome.Taken])
      const [accepted, refused] = outcomes[0] === JobCallOutcome.Ok ? [owner, other] : [other, owner]
      assert.equal(await api.submit(route, 'job', items, refused), JobCallOutcome.Taken)
      assert.equal(await api.submit(route, 'job', items, accepted), JobCallOutcome.Ok)
      assert.equal(await api.submit(route, 'job', items, nobody), JobCallOutcome.Taken)
    })
  })
})
