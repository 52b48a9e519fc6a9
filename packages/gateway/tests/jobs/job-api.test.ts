/** Tests how long calls about jobs wait for the log. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AppendOutcome, ItemState, JobApi, JobCallOutcome, JobPartition, resultRecord, submissionRecords } from '../../src/index.js'
import type { KeyedRecord, KeyedTopic } from '../../src/index.js'
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
})
