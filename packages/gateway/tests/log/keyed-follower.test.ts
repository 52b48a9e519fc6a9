/** Tests that a refresh has read everything that was appended before it was called, whatever other reads are in flight, and how old it says that the topic is. */
import assert from 'node:assert/strict'
import { setImmediate } from 'node:timers/promises'
import { describe, it, mock } from 'node:test'
import { AppendOutcome, KeyedFollower, LogUnavailableError } from '../../src/index.js'
import type { KeyedRecord, KeyedTopic, RecordBatch } from '../../src/index.js'
import { createTestLogger } from '../util/test-logger.js'

/** A topic whose reads see the records at the time of their call, and return when the test lets them. */
class HeldTopic implements KeyedTopic {
  readonly #records: KeyedRecord[] = []
  #held: Array<() => void> = []

  add (key: string): void {
    this.#records.push({ key, value: Buffer.from('value'), offset: this.#records.length })
  }

  /** Lets the reads that are in flight return, the first one first. */
  async release (): Promise<void> {
    for (const resolve of this.#held.splice(0)) {
      resolve()
      await setImmediate()
    }
  }

  async newest (): Promise<RecordBatch> {
    return await this.read(0)
  }

  async read (from: number): Promise<RecordBatch> {
    const batch = { records: this.#records.slice(from), end: this.#records.length, isComplete: true }
    await new Promise<void>(resolve => { this.#held.push(resolve) })
    return batch
  }

  async append (): Promise<AppendOutcome> {
    return AppendOutcome.Refused
  }
}

function follow (topic: KeyedTopic): { readonly follower: KeyedFollower, readonly keys: Set<string> } {
  const keys = new Set<string>()
  const listener = (records: readonly KeyedRecord[]): void => { records.forEach(({ key }) => { keys.add(key) }) }
  const options = { name: 'topic', waitMilliseconds: 0, pauseMilliseconds: () => 1_000 }
  return { follower: new KeyedFollower(topic, options, listener, createTestLogger()), keys }
}

/** Lets all reads return, and returns the result of a refresh. */
async function resultOf (topic: HeldTopic, promise: Promise<boolean>): Promise<boolean> {
  // A refresh takes no more reads than this.
  for (let round = 0; round < 10; round += 1) {
    await topic.release()
    await setImmediate()
  }
  return await promise
}

describe('KeyedFollower', () => {
  it('reads anew for a refresh that is called while another is in flight, even in the same millisecond', async context => {
    mock.timers.enable({ apis: ['Date'], now: 1_000_000 })
    context.after(() => { mock.timers.reset() })
    const topic = new HeldTopic()
    const { follower, keys } = follow(topic)
    const first = follower.refresh()
    await setImmediate()
    topic.add('later')
    const second = follower.refresh()
    assert.equal(await resultOf(topic, second), true)
    assert.equal(await first, true)
    assert.ok(keys.has('later'))
    follower.close()
  })

  it('does not confirm a refresh during which it is closed', async () => {
    const topic = new HeldTopic()
    const { follower } = follow(topic)
    const refresh = follower.refresh()
    await setImmediate()
    follower.close()
    assert.equal(await resultOf(topic, refresh), false)
  })

  it('reads on after a load that began before the refresh and ended during it', async () => {
    const topic = new HeldTopic()
    const { follower, keys } = follow(topic)
    follower.start()
    await setImmediate()
    topic.add('later')
    assert.equal(await resultOf(topic, follower.refresh()), true)
    assert.ok(keys.has('later'))
    follower.close()
  })

  it('logs each load with its size, and each load that fails, also before the first one that succeeds', async () => {
    const lines: string[] = []
    const records = [{ key: 'key', value: Buffer.from('value'), offset: 0 }]
    let loads = 0
    const topic: KeyedTopic = {
      newest: async () => {
        loads += 1
        if (loads === 1) {
          throw new LogUnavailableError('newest was not answered')
        }
        return { records, end: 1, isComplete: true }
      },
      read: async () => ({ records: [], end: 1, isComplete: true }),
      append: async () => AppendOutcome.Refused
    }
    const follower = new KeyedFollower(topic, { name: 'topic', waitMilliseconds: 0, pauseMilliseconds: () => 0 }, () => {}, createTestLogger(lines))
    assert.equal(await follower.refresh(), false)
    assert.equal(await follower.refresh(), true)
    follower.close()
    const loadLines = lines.map(line => JSON.parse(line) as Record<string, unknown>).filter(line => String(line.message).startsWith('records '))
    assert.deepEqual(loadLines.map(({ message, topic, error, bytes, end }) => ({ message, topic, error, bytes, end })), [
      { message: 'records not loaded', topic: 'topic', error: 'newest was not answered', bytes: undefined, end: undefined },
      { message: 'records loaded', topic: 'topic', error: undefined, bytes: 5, end: 1 }
    ])
  })

  it('tells for how long reads have failed, also before the first one that succeeds', async context => {
    let now = 1_000
    context.mock.method(performance, 'now', () => now)
    const newest = context.mock.fn(async (): Promise<RecordBatch> => { throw new LogUnavailableError('newest was not answered') })
    const topic: KeyedTopic = { newest, read: async () => ({ records: [], end: 0, isComplete: true }), append: async () => AppendOutcome.Refused }
    const follower = new KeyedFollower(topic, { name: 'topic', waitMilliseconds: 0, pauseMilliseconds: () => 0 }, () => {}, createTestLogger())
    assert.equal(follower.outageMilliseconds, 0)
    await follower.refresh()
    now += 300
    await follower.refresh()
    now += 200
    assert.equal(follower.outageMilliseconds, 500)
    newest.mock.mockImplementation(async () => ({ records: [], end: 0, isComplete: true }))
    await follower.refresh()
    now += 100
    assert.equal(follower.outageMilliseconds, 0)
    follower.close()
  })

  for (const [name, pass] of [
    ['read', async (follower: KeyedFollower) => { assert.equal(await follower.refresh(), false) }],
    ['appended', async (follower: KeyedFollower, records: readonly KeyedRecord[]) => { follower.applyAppended(records, performance.now()) }]
  ] as const) {
    it(`passes all records again after the listener has failed on some that were ${name}`, async () => {
      const records: KeyedRecord[] = [{ key: 'first', value: Buffer.from('value'), offset: 0 }]
      const topic: KeyedTopic = {
        newest: async () => ({ records, end: records.length, isComplete: true }),
        read: async from => ({ records: records.slice(from), end: records.length, isComplete: true }),
        append: async () => AppendOutcome.Refused
      }
      const received: Array<{ readonly keys: readonly string[], readonly isReset: boolean }> = []
      let isFailing = false
      const follower = new KeyedFollower(topic, { name: 'topic', waitMilliseconds: 0, pauseMilliseconds: () => 0 }, (batch, isReset) => {
        if (isFailing) {
          throw new Error('planted fault')
        }
        received.push({ keys: batch.map(({ key }) => key), isReset })
      }, createTestLogger())
      assert.equal(await follower.refresh(), true)
      const second = { key: 'second', value: Buffer.from('value'), offset: 1 }
      records.push(second)
      isFailing = true
      await pass(follower, [second])
      isFailing = false
      assert.equal(await follower.refresh(), true)
      assert.deepEqual(received.at(-1), { keys: ['first', 'second'], isReset: true })
      follower.close()
    })
  }
})

describe('the greatest age of a followed topic', () => {
  it('grows while the process is stopped, and after the wall clock was set back', async context => {
    const topic = new HeldTopic()
    topic.add('key')
    const { follower } = follow(topic)
    assert.equal(follower.greatestAgeMilliseconds, Infinity)
    let wall = 1_790_000_000_000
    let steady = 1_000
    context.mock.method(Date, 'now', () => wall)
    context.mock.method(performance, 'now', () => steady)
    assert.ok(await resultOf(topic, follower.refresh()))
    assert.equal(follower.greatestAgeMilliseconds, 0)
    // The monotonic clock stands still during a stop.
    wall += 8_000
    assert.equal(follower.greatestAgeMilliseconds, 8_000)
    wall -= 3_600_000
    steady += 6_000
    assert.equal(follower.greatestAgeMilliseconds, 6_000)
    assert.ok(await resultOf(topic, follower.refresh()))
    assert.equal(follower.greatestAgeMilliseconds, 0)
  })
})
