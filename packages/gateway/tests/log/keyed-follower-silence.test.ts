/** Tests how a follower keeps up while reads of its topic are not answered, with mocked timers. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { AppendOutcome, KeyedFollower, LogUnavailableError, sleep } from '../../src/index.js'
import type { KeyedRecord, KeyedTopic, RecordBatch } from '../../src/index.js'
import { createTestLogger } from '../util/test-logger.js'

const waitMilliseconds = 50

/** A topic whose waiting reads can be left without an answer. */
class SilentTopic implements KeyedTopic {
  readonly records: KeyedRecord[] = []
  /** Whether waiting reads fail late instead of being answered. */
  isSilent = false
  /** Number of reads that do not wait. */
  immediateReads = 0

  async newest (): Promise<RecordBatch> {
    return await Promise.resolve({ records: this.records, end: this.records.length, isComplete: true })
  }

  async read (from: number, wait: number): Promise<RecordBatch> {
    this.immediateReads += wait === 0 ? 1 : 0
    if (this.isSilent && wait > 0) {
      await sleep(1_000)
      throw new LogUnavailableError('no answer')
    }
    if (this.records.length === from) {
      await sleep(wait)
    }
    return { records: this.records.slice(from), end: this.records.length, isComplete: true }
  }

  async append (): Promise<AppendOutcome> {
    return await Promise.resolve(AppendOutcome.Refused)
  }
}

/** Lets time pass, with what reads cause in each millisecond. */
async function advance (milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 1) {
    mock.timers.tick(1)
    await nextTurn()
  }
}

describe('KeyedFollower', () => {
  let topic: SilentTopic
  let received: string[]
  let isUrgent: boolean
  let follower: KeyedFollower

  beforeEach(async () => {
    mock.timers.enable({ apis: ['Date', 'setTimeout'], now: 1_000_000 })
    topic = new SilentTopic()
    received = []
    isUrgent = true
    const options = { name: 'topic', waitMilliseconds, pauseMilliseconds: () => 0, isUrgent: () => isUrgent }
    follower = new KeyedFollower(topic, options, records => { received.push(...records.map(({ key }) => key)) }, createTestLogger())
    assert.equal(follower.ageMilliseconds, Infinity)
    follower.start()
    await advance(20)
  })

  afterEach(() => {
    follower.close()
    mock.timers.reset()
  })

  function append (key: string): void {
    topic.records.push({ key, value: Buffer.from('value'), offset: topic.records.length })
  }

  it('reads without waiting while the answer to a read is overdue', async () => {
    topic.isSilent = true
    await advance(waitMilliseconds)
    append('late')
    await advance(200)
    assert.deepEqual(received, ['late'])
    assert.ok(follower.ageMilliseconds < 300, `the topic is ${follower.ageMilliseconds} ms old`)
  })

  it('makes only waiting reads while these are answered', async () => {
    await advance(400)
    append('new')
    await advance(100)
    assert.deepEqual([received, topic.immediateReads], [['new'], 0])
  })

  it('makes only waiting reads if the topic is not urgent', async () => {
    isUrgent = false
    topic.isSilent = true
    await advance(500)
    assert.equal(topic.immediateReads, 0)
  })

  it('knows its age from the end of a wait without records, and grows older while reads are not answered', async () => {
    isUrgent = false
    await advance(200)
    assert.ok(follower.ageMilliseconds <= waitMilliseconds + 20, `the topic is ${follower.ageMilliseconds} ms old`)
    topic.isSilent = true
    await advance(300)
    assert.ok(follower.ageMilliseconds >= 200, `the topic is ${follower.ageMilliseconds} ms old`)
  })
})
