/** Tests that accepted items are run until they have a result, whatever fails, over an in-memory log with mocked timers. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { ChangeOutcome } from '../../src/index.js'
import type { JobRunnerDependencies } from '../../src/index.js'
import { FaultyLog } from '../util/faulty-topic.js'
import { acquire, advance, RunnerHarness, submissionOf, turn } from '../util/runner-harness.js'

const itemsName = 'arbutus_gateway_items_total'

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
})
