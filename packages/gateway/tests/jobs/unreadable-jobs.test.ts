/** Tests what is answered for a job of which a record could not be applied, so that the fold lacks a job that the log has. */
import assert from 'node:assert/strict'
import { describe, it, mock } from 'node:test'
import { RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { AppendOutcome, JobApi, JobCallOutcome, JobPartition, submissionRecords } from '../../src/index.js'
import type { JobItem, KeyedRecord, KeyedTopic, NewRecord, ReadPartitions, RecordBatch } from '../../src/index.js'
import { createTestLogger } from '../util/test-logger.js'

const job = 'job'
const bodiesKey = `b/${job}/0`
const submissionKey = `s/${job}`
const items: readonly JobItem[] = [{ id: 'item', path: '/', headers: [], body: Buffer.from('body'), tokens: 1 }]
const route: Route = {
  name: 'route',
  host: 'host.example',
  prefix: '/',
  kind: RouteKind.Batch,
  services: [],
  timeoutMilliseconds: 1_000,
  objectiveMilliseconds: 1_000,
  priority: 0,
  maxAttempts: 1,
  resumable: false,
  completionMilliseconds: 1_000,
  retentionMilliseconds: 1_000,
  waitingTokens: 0
}
/** Longer than the minimum time between two loads. */
const longMilliseconds = 10_000

/** A topic in memory; records with a key in `hidden` are left out of what is read. */
class PartialTopic implements KeyedTopic {
  readonly records: KeyedRecord[] = []
  readonly hidden = new Set<string>()

  add (records: readonly NewRecord[]): void {
    for (const record of records) {
      this.records.push({ ...record, offset: this.records.length })
    }
  }

  async newest (): Promise<RecordBatch> {
    const { records, end } = await this.read(0)
    const newest = new Map(records.map(record => [record.key, record]))
    return { records: [...newest.values()].filter(({ value }) => value !== null), end, isComplete: true }
  }

  async read (from: number): Promise<RecordBatch> {
    return { records: this.records.slice(from).filter(({ key }) => !this.hidden.has(key)), end: this.records.length, isComplete: true }
  }

  async append (records: readonly NewRecord[], expectedEnd: number | null): Promise<AppendOutcome> {
    if (expectedEnd !== null && expectedEnd !== this.records.length) {
      return AppendOutcome.Conflict
    }
    this.add(records)
    return AppendOutcome.Done
  }
}

/** Opens the calls about jobs of one partition, which has been read before the topic has the job. */
async function open (topic: PartialTopic): Promise<JobApi> {
  const logger = createTestLogger()
  const partition = new JobPartition(0, topic, logger)
  assert.equal(await partition.refresh(), true)
  const partitions: ReadPartitions = { numberOf: () => 0, get: () => partition, isOwn: () => true }
  const ledger = { reserve: async () => ({ granted: true, waiting: 0 } as const), settle: () => {} }
  return new JobApi(partitions, ledger, () => 'process', logger)
}

describe('a job of which a record could not be applied', () => {
  it('is found once all its records can be read', async () => {
    const topic = new PartialTopic()
    const api = await open(topic)
    topic.add(submissionRecords({ id: job, route: 'route', items }, Date.now(), 'other'))
    topic.hidden.add(bodiesKey)
    await api.results(job, 0, 0)
    topic.hidden.clear()
    assert.deepEqual(await api.body(job, 'item'), items[0]?.body)
  })

  for (const [name, damage] of [
    ['is incomplete', (topic: PartialTopic) => { topic.hidden.add(bodiesKey) }],
    ['cannot be decoded', (topic: PartialTopic) => { topic.add([{ key: submissionKey, value: Buffer.from([0xc1]) }]) }]
  ] as const) {
    it(`is never called unknown while its submission ${name}`, async () => {
      const topic = new PartialTopic()
      const api = await open(topic)
      if (name === 'is incomplete') {
        topic.add(submissionRecords({ id: job, route: 'route', items }, Date.now(), 'other'))
      }
      damage(topic)
      for (let read = 0; read < 3; read += 1) {
        assert.equal(await api.results(job, 0, 0), JobCallOutcome.Unavailable)
        assert.equal(await api.body(job, 'item'), JobCallOutcome.Unavailable)
        assert.equal(await api.end(job), JobCallOutcome.Unavailable)
      }
    })
  }

  it('is not accepted a second time, nor promised not to run', async () => {
    const topic = new PartialTopic()
    const api = await open(topic)
    topic.add(submissionRecords({ id: job, route: 'route', items }, Date.now(), 'other'))
    topic.hidden.add(bodiesKey)
    await api.results(job, 0, 0)
    const end = topic.records.length
    assert.equal(await api.submit(route, job, items), JobCallOutcome.Unknown)
    assert.equal(topic.records.length, end)
  })

  it('is unknown once it was deleted', async () => {
    const topic = new PartialTopic()
    const api = await open(topic)
    topic.add(submissionRecords({ id: job, route: 'route', items }, Date.now(), 'other'))
    topic.hidden.add(bodiesKey)
    await api.results(job, 0, 0)
    topic.add([{ key: bodiesKey, value: null }, { key: submissionKey, value: null }])
    assert.equal(await api.results(job, 0, 0), JobCallOutcome.NotFound)
  })

  it('is read anew no more than once in two seconds', async context => {
    const topic = new PartialTopic()
    const api = await open(topic)
    topic.add(submissionRecords({ id: job, route: 'route', items }, Date.now(), 'other'))
    topic.hidden.add(bodiesKey)
    const loads = context.mock.method(topic, 'newest')
    let now = performance.now()
    mock.method(performance, 'now', () => now)
    context.after(() => { mock.restoreAll() })
    for (let read = 0; read < 10; read += 1) {
      await api.results(job, 0, 0)
    }
    assert.equal(loads.mock.callCount(), 1)
    now += longMilliseconds
    await api.results(job, 0, 0)
    assert.equal(loads.mock.callCount(), 2)
  })
})
