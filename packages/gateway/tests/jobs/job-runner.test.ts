/** Tests that accepted items are run until they have a result, whatever fails, over an in-memory log with mocked timers. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { ChangeOutcome, ExpiredOffsetError, LogUnavailableError } from '../../src/index.js'
import type { JobRunnerDependencies } from '../../src/index.js'
import { FaultyLog } from '../util/faulty-topic.js'
import { acquire, advance, RunnerHarness, submissionOf, turn } from '../util/runner-harness.js'

const itemsName = 'arbutus_gateway_items_total'
const checkName = 'arbutus_gateway_item_check_changes_total'

/** A fault of one dependency, which lasts while `isFailing` returns true. */
type FaultyDependencies = (isFailing: () => boolean) => Partial<JobRunnerDependencies>

function throwIf (isFailing: boolean): void {
  if (isFailing) {
    throw new Error('injected')
  }
}

describe('JobRunner', () => {
  let log: FaultyLog
  let harnesses: RunnerHarness[]

  function open (overrides: Partial<JobRunnerDependencies> = {}): RunnerHarness {
    const harness = new RunnerHarness(log.connect(), overrides)
    harnesses.push(harness)
    return harness
  }

  async function submit (harness: RunnerHarness, id: string, items: number): Promise<void> {
    const submitted = harness.partition.log.submit(submissionOf(id, items), 'a', Date.now() + 5_000)
    await advance(100)
    assert.equal(await submitted, ChangeOutcome.Done)
  }

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date', 'setTimeout', 'setInterval'], now: 1_000_000 })
    // Without faults of the log.
    log = new FaultyLog(() => 0.99)
    harnesses = []
  })

  afterEach(async () => {
    harnesses.forEach(harness => { harness.close() })
    await turn()
    mock.timers.reset()
  })

  const faults: Readonly<Record<string, FaultyDependencies>> = {
    'the route is looked up': isFailing => ({ routeOf: () => { throwIf(isFailing()); return null } }),
    'the routes are read': isFailing => ({ routeOf: () => null, refreshRoutes: async () => { throwIf(isFailing()); return true } }),
    'a service is chosen': isFailing => ({ serviceOf: () => { throwIf(isFailing()); return null } }),
    'a slot is requested': isFailing => ({ slots: { acquire: async (...request) => { throwIf(isFailing()); return await acquire(...request) } } })
  }
  for (const [place, faulty] of Object.entries(faults)) {
    it(`finishes the items whose run fails when ${place}`, async () => {
      const failsUntil = Date.now() + 1_000
      const harness = open(faulty(() => Date.now() < failsUntil))
      harness.setActive(true)
      await submit(harness, 'j', 2)
      await advance(1_500)
      harness.hasRoute = false
      await advance(3_000)
      assert.equal(harness.finished('j'), 2)
      assert.equal(harness.runner.running, 0)
      const [line] = harness.linesOf('item run failed')
      assert.deepEqual([line?.job, line?.item, line?.error], ['j', 'j-0', 'injected'])
      assert.equal(await harness.count(itemsName, 'failed'), harness.linesOf('item run failed').length)
    })
  }

  it('runs items whose saved progress cannot be loaded', async () => {
    const harness = open({ progress: { loadPartition: async () => { throw new Error('injected') }, save: async () => {} } })
    harness.hasRoute = false
    harness.setActive(true)
    await submit(harness, 'j', 2)
    await advance(1_000)
    assert.equal(harness.finished('j'), 2)
    assert.equal(harness.linesOf('progress not read').length, 1)
  })

  it('starts an item whose runs fail again and again after delays that grow to five seconds', async () => {
    const startedAt: number[] = []
    const harness = open({ routeOf: () => { startedAt.push(Date.now()); throw new Error('injected') } })
    harness.setActive(true)
    await submit(harness, 'j', 1)
    await advance(30_000)
    const delays = startedAt.slice(1).map((time, index) => Math.round((time - (startedAt[index] ?? 0)) / 100) * 100)
    assert.deepEqual(delays.slice(0, 8), [200, 400, 800, 1_600, 3_200, 5_000, 5_000, 5_000])
  })

  it('does not start an item whose run failed in a partition that was given up', async () => {
    const harness = open({ routeOf: () => { throw new Error('injected') } })
    harness.setActive(true)
    await submit(harness, 'j', 1)
    harness.setActive(false)
    const { length } = harness.linesOf('item run failed')
    await advance(10_000)
    assert.equal(harness.linesOf('item run failed').length, length)
    assert.equal(harness.runner.running, 0)
  })

  it('records the result of an item after an append that failed with an error', async () => {
    const topic = log.connect()
    let failures = 0
    const harness = new RunnerHarness({
      ...topic,
      append: async (records, end) => {
        if (records.some(({ key }) => key.startsWith('r/')) && failures < 2) {
          failures += 1
          throw new Error('injected')
        }
        return await topic.append(records, end)
      }
    })
    harnesses.push(harness)
    harness.setActive(true)
    await submit(harness, 'j', 1)
    harness.hasRoute = false
    await advance(5_000)
    assert.equal(failures, 2)
    assert.equal(harness.finished('j'), 1)
    assert.equal(harness.runner.running, 0)
  })

  it('starts the items of a job of whose change it was not told', async () => {
    const harness = open()
    mock.method(harness.partition.fold, 'onChange', () => {})
    harness.setActive(true)
    await advance(50)
    await submit(harness, 'j', 3)
    await advance(1_100)
    assert.equal(harness.runner.running, 3)
    assert.deepEqual(harness.linesOf('item without run started').map(({ job, item, partition }) => [job, item, partition]), [['j', 'j-0', 0], ['j', 'j-1', 0], ['j', 'j-2', 0]])
    assert.equal(await harness.count(checkName, 'started'), 3)
    harness.hasRoute = false
    await advance(3_000)
    assert.equal(harness.finished('j'), 3)
    assert.equal(harness.runner.running, 0)
  })

  it('stops the items of a job that another process has deleted before the end of the job was read here', async () => {
    const topic = log.connect()
    let hasExpired = false
    const harness = new RunnerHarness({
      ...topic,
      read: async (from, wait) => {
        if (hasExpired) {
          hasExpired = false
          throw new ExpiredOffsetError('injected')
        }
        return await topic.read(from, wait)
      }
    })
    harnesses.push(harness)
    harness.setActive(true)
    await submit(harness, 'j', 2)
    assert.equal(harness.runner.running, 2)
    const other = open()
    await Promise.all([other.partition.refresh(), advance(50)])
    const deleted = other.partition.log.delete('j')
    await advance(50)
    assert.equal(await deleted, ChangeOutcome.Done)
    hasExpired = true
    await Promise.all([harness.partition.refresh(), advance(3_000)])
    assert.equal(harness.partition.fold.get('j'), undefined)
    assert.equal(harness.runner.running, 0)
    assert.equal(harness.linesOf('item run without need stopped').length, 2)
    assert.equal(await harness.count(checkName, 'stopped'), 2)
  })

  it('neither starts nor stops anything while the partition is not its own or was not read yet', async () => {
    const topic = log.connect()
    let isReachable = true
    const harness = new RunnerHarness({
      ...topic,
      read: async (from, wait) => {
        if (!isReachable) {
          throw new LogUnavailableError('injected')
        }
        return await topic.read(from, wait)
      }
    })
    harnesses.push(harness)
    harness.setActive(true)
    await submit(harness, 'j', 2)
    harness.setActive(false)
    await advance(3_000)
    assert.equal(harness.runner.running, 0)
    isReachable = false
    harness.setActive(true)
    await advance(3_000)
    assert.equal(harness.runner.running, 0)
    isReachable = true
    await advance(1_500)
    assert.equal(harness.runner.running, 2)
    assert.equal(await harness.count(checkName, 'started'), 0)
  })
})
