/** Tests that items finish whatever the order in which two processes take a partition and give it up, over an in-memory log with mocked timers. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { ChangeOutcome } from '../../src/index.js'
import { FaultyLog } from '../util/faulty-topic.js'
import { advance, RunnerHarness, submissionOf, turn } from '../util/runner-harness.js'

/** What happens in a play: a process takes the partition or gives it up, reads it to its end, or lets its items finish. */
type Step = (harness: RunnerHarness) => void

const items = 3
/** A call to the log takes up to 3 ms of the mocked time, so that steps fall before, within and after each of them. */
const delays: readonly number[] = [0, 10, 400]
const steps: readonly Step[] = [
  harness => { harness.setActive(!harness.isActive) },
  harness => { harness.hasRoute = !harness.hasRoute },
  harness => { void harness.partition.refresh() }
]

/** Returns all plays of four steps of either process that begin with a process that takes the partition. */
function plays (): ReadonlyArray<ReadonlyArray<readonly [number, Step]>> {
  const choices = [0, 1].flatMap(process => steps.map(step => [process, step] as const))
  return choices.slice(0, 1).flatMap(first => choices.flatMap(second => choices.flatMap(third => choices.map(fourth => [first, second, third, fourth]))))
}

describe('JobRunner of two processes', () => {
  beforeEach(() => { mock.timers.enable({ apis: ['Date', 'setTimeout', 'setInterval'], now: 1_000_000 }) })

  afterEach(() => { mock.timers.reset() })

  /** Plays the steps, the latter process the only owner at the end; fails if an item then lacks a result. */
  async function play (chosen: ReadonlyArray<readonly [number, Step]>, delay: number, owner: number): Promise<void> {
    const log = new FaultyLog(() => 0.99)
    const harnesses = [new RunnerHarness(log.connect()), new RunnerHarness(log.connect())]
    const [first, last] = owner === 0 ? [...harnesses].reverse() : harnesses
    assert.ok(first !== undefined && last !== undefined)
    const submitted = last.partition.log.submit(submissionOf('j', items), 'a', Date.now() + 5_000)
    await advance(30)
    assert.equal(await submitted, ChangeOutcome.Done)
    for (const [process, step] of chosen) {
      const harness = harnesses[process]
      assert.ok(harness !== undefined)
      step(harness)
      await (delay === 0 ? turn() : advance(delay))
    }
    first.setActive(false)
    last.setActive(true)
    last.hasRoute = false
    await advance(2_600)
    assert.equal(last.finished('j'), items)
    assert.equal(log.records.filter(({ key }) => key.startsWith('r/')).length, items)
    assert.deepEqual(harnesses.map(({ runner }) => runner.running), [0, 0])
    assert.equal(last.linesOf('item without run started').length, 0)
    harnesses.forEach(harness => { harness.close() })
    await turn()
  }

  for (const delay of delays) {
    it(`finishes each item once in all plays of four steps with ${delay} ms between them`, async () => {
      for (const [number, chosen] of plays().entries()) {
        await play(chosen, delay, number % 2)
      }
    })
  }
})
