/** Tests saving and loading item progress, with in-memory partitions. */
import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { hash32 } from '@arbutusloft/policy'
import { AppendOutcome, LogUnavailableError, ProgressLog } from '../../src/index.js'
import type { ItemProgress, KeyedTopic, NewRecord } from '../../src/index.js'
import { createTestLogger } from '../util/test-logger.js'

/** A partition that keeps the newest value of each key, and the appends it has received. */
class MemoryPartition implements KeyedTopic {
  readonly appends: Array<readonly NewRecord[]> = []
  readonly values = new Map<string, Buffer>()
  /** Whether all calls fail. */
  isUnreachable = false

  async newest (): ReturnType<KeyedTopic['newest']> {
    if (this.isUnreachable) {
      throw new LogUnavailableError('injected read failure')
    }
    return await Promise.resolve({ records: [...this.values].map(([key, value], offset) => ({ key, value, offset })), end: this.values.size, isComplete: true })
  }

  async read (): ReturnType<KeyedTopic['read']> {
    return await Promise.resolve({ records: [], end: 0, isComplete: true })
  }

  async append (records: readonly NewRecord[]): Promise<AppendOutcome> {
    if (this.isUnreachable) {
      return await Promise.resolve(AppendOutcome.Refused)
    }
    this.appends.push(records)
    for (const { key, value } of records) {
      if (value === null) {
        this.values.delete(key)
      } else {
        this.values.set(key, value)
      }
    }
    return AppendOutcome.Done
  }
}

const origin = { service: 's', softwareVersion: 'v1' }

describe('ProgressLog', () => {
  let partitions: MemoryPartition[]
  let log: ProgressLog

  beforeEach(() => {
    partitions = [new MemoryPartition(), new MemoryPartition(), new MemoryPartition()]
    log = new ProgressLog(partitions, createTestLogger())
  })

  /** Loads the progress of a job's items by index. */
  async function loadJob (job: string): Promise<ReadonlyMap<number, ItemProgress>> {
    const loaded = await log.loadPartition(hash32(job) % partitions.length)
    return loaded.get(job) ?? new Map<number, ItemProgress>()
  }

  it('loads the newest progress of each item of a job, and of no other job', async () => {
    await log.save([
      { job: 'one', index: 0, progress: { lastId: 3, origin, text: 'a\nb\nc' } },
      { job: 'one', index: 1, progress: { lastId: 70_000, origin, text: 'é' } },
      { job: 'one/more', index: 0, progress: { lastId: 9, origin, text: 'x' } }
    ])
    await log.save([{ job: 'one', index: 0, progress: { lastId: 4, origin, text: 'a\nb\nc\nd' } }])
    assert.deepEqual([...await loadJob('one')], [[0, { lastId: 4, origin, text: 'a\nb\nc\nd' }], [1, { lastId: 70_000, origin, text: 'é' }]])
  })

  it('deletes the progress of an item when null is saved', async () => {
    await log.save([{ job: 'one', index: 0, progress: { lastId: 3, origin, text: 'a' } }])
    await log.save([{ job: 'one', index: 0, progress: null }])
    assert.equal((await loadJob('one')).size, 0)
  })

  it('stores each job in one partition, and distributes jobs over all partitions', async () => {
    const jobs = Array.from({ length: 20 }, (_, number) => `job-${number}`)
    await log.save(jobs.flatMap(job => [0, 1].map(index => ({ job, index, progress: { lastId: 1, origin, text: 'a' } }))))
    const jobsByPartition = partitions.map(partition => new Set([...partition.values.keys()].map(key => key.split('/')[0])))
    assert.equal(jobsByPartition.reduce((sum, ids) => sum + ids.size, 0), jobs.length)
    assert.ok(jobsByPartition.every(ids => ids.size > 0))
    // A save makes one append for each partition, regardless of the number of jobs.
    assert.deepEqual(partitions.map(partition => partition.appends.length), [1, 1, 1])
  })

  it('skips texts above the size limit of the store, measured in bytes, and splits large appends', async () => {
    const small = 'x'.repeat(190_000)
    const large = 'é'.repeat(150_000)
    await log.save([...Array.from({ length: 10 }, (_, index) => ({ job: 'one', index, progress: { lastId: 1, origin, text: small } })), { job: 'one', index: 10, progress: { lastId: 1, origin, text: large } }])
    const found = await loadJob('one')
    assert.equal(found.size, 10)
    const appends = partitions.flatMap(partition => partition.appends)
    assert.equal(appends.length, 2)
    for (const records of appends) {
      assert.ok(records.reduce((sum, record) => sum + (record.value?.length ?? 0), 0) < 2_000_000)
    }
  })

  it('ignores records of earlier builds, which do not tell the software version, and deletes them with the progress', async () => {
    const [partition] = partitions
    assert.ok(partition !== undefined)
    const earlier = Buffer.concat([Buffer.from([0, 0, 0, 3]), Buffer.from('a\nb\nc')])
    partitions.forEach(each => { each.values.set('one/0', earlier) })
    assert.equal((await loadJob('one')).size, 0)
    await log.save([{ job: 'one', index: 0, progress: { lastId: 4, origin: { ...origin, softwareVersion: 'v1.1' }, text: 'd' } }])
    assert.deepEqual([...await loadJob('one')], [[0, { lastId: 4, origin: { ...origin, softwareVersion: 'v1.1' }, text: 'd' }]])
    await log.save([{ job: 'one', index: 0, progress: null }])
    const home = partitions[hash32('one') % partitions.length]
    assert.deepEqual([...home?.values ?? []].filter(([, value]) => value !== null), [])
  })

  it('treats progress as missing while the store is unreachable', async () => {
    partitions.forEach(partition => { partition.isUnreachable = true })
    await log.save([{ job: 'one', index: 0, progress: { lastId: 3, origin, text: 'a' } }])
    assert.equal((await loadJob('one')).size, 0)
  })

  it('saves the progress of other items beside one whose target sent an event id that a record cannot hold', async () => {
    const largest = { lastId: 2 ** 32 - 1, origin, text: 'a' }
    await log.save([{ job: 'j', index: 0, progress: { lastId: 2 ** 32, origin, text: 'a' } }, { job: 'j', index: 1, progress: largest }])
    assert.deepEqual([...await loadJob('j')], [[1, largest]])
  })
})
