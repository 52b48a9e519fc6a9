/** Tests how long calls about jobs wait for the log. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AppendOutcome, JobApi, JobCallOutcome, JobPartition } from '../../src/index.js'
import type { KeyedTopic } from '../../src/index.js'
import { createTestLogger } from '../util/test-logger.js'

/** Time allowed for a forwarded read; an owner that does not answer within it counts as unresponsive. */
const readMilliseconds = 900

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
})
