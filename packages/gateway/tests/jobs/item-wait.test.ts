/** Tests what a waiting item logs and counts. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WaitCause } from '@arbutusloft/policy'
import { ItemWait } from '../../src/jobs/item-wait.js'
import { GatewayMetrics } from '../../src/metrics.js'
import { createTestLogger } from '../util/test-logger.js'

/** A waiting item with what it has logged and counted. */
class ObservedWait {
  readonly metrics = new GatewayMetrics()
  readonly #lines: string[] = []
  readonly wait = new ItemWait(createTestLogger(this.#lines), { job: 'j', item: 'i' }, this.metrics)

  /** Returns the lines since the last call. */
  takeLines (): readonly unknown[] {
    return this.#lines.splice(0).map(line => {
      const { message, job, item, service, cause, until, waited } = JSON.parse(line) as Record<string, unknown>
      return { message, job, item, service, cause, until, waited }
    })
  }

  async counted (): Promise<Readonly<Record<string, number>>> {
    const { values } = await this.metrics.waitingItems.get()
    return Object.fromEntries(values.map(({ labels, value }) => [String(labels.cause), value]))
  }
}

describe('ItemWait', () => {
  it('logs a new cause at once, and an unchanged one every 10 s, with the time since the last slot', () => {
    const observed = new ObservedWait()
    const { wait } = observed
    const line = { message: 'item waits', job: 'j', item: 'i', service: 's' }
    wait.begin(1_000)
    wait.begin(2_000)
    assert.deepEqual(observed.takeLines(), [])
    wait.onCause('s', { cause: WaitCause.Full, until: 0 }, 3_000)
    assert.deepEqual(observed.takeLines(), [{ ...line, cause: WaitCause.Full, until: 0, waited: 2_000 }])
    for (let now = 5_000; now < 13_000; now += 2_000) {
      wait.onCause('s', { cause: WaitCause.Full, until: 0 }, now)
    }
    assert.deepEqual(observed.takeLines(), [])
    wait.onCause('s', { cause: WaitCause.Full, until: 0 }, 13_000)
    assert.deepEqual(observed.takeLines(), [{ ...line, cause: WaitCause.Full, until: 0, waited: 12_000 }])
    wait.onCause('s', { cause: WaitCause.HeldBack, until: 7_000.5 }, 15_000)
    assert.deepEqual(observed.takeLines(), [{ ...line, cause: WaitCause.HeldBack, until: 7_001, waited: 14_000 }])
    wait.end()
    wait.begin(20_000)
    wait.onCause('s', { cause: WaitCause.HeldBack, until: 1 }, 22_000)
    assert.deepEqual(observed.takeLines(), [{ ...line, cause: WaitCause.HeldBack, until: 1, waited: 2_000 }])
  })

  it('counts the item under its present cause until it has a slot', async () => {
    const observed = new ObservedWait()
    const { wait } = observed
    wait.begin(0)
    assert.deepEqual(await observed.counted(), {})
    wait.onCause('s', { cause: WaitCause.Full, until: 0 }, 2_000)
    wait.onCause('s', { cause: WaitCause.Full, until: 0 }, 4_000)
    assert.deepEqual(await observed.counted(), { full: 1 })
    wait.onCause('s', { cause: WaitCause.Limited, until: 0 }, 6_000)
    assert.deepEqual(await observed.counted(), { full: 0, limited: 1 })
    wait.end()
    wait.end()
    assert.deepEqual(await observed.counted(), { full: 0, limited: 0 })
  })
})
