/** Tests from which lists of targets slots are granted, and that they do not wait for reads which nobody answers. */
import assert from 'node:assert/strict'
import { describe, it, mock } from 'node:test'
import { TargetFreshness } from '../../src/targets/target-freshness.js'
import type { TargetSource } from '../../src/targets/target-freshness.js'
import { createTestLogger } from '../util/test-logger.js'

const maximumAgeMilliseconds = 2_250

/** A list whose reads take a while, and succeed or fail. */
class FakeSource implements TargetSource {
  shownUntil = Date.now()
  reads = 0
  isReachable = true
  readMilliseconds = 900

  get ageMilliseconds (): number {
    return Date.now() - this.shownUntil
  }

  refresh = async (): Promise<boolean> => {
    this.reads += 1
    const startedAt = Date.now()
    await new Promise<void>(resolve => { setTimeout(resolve, this.readMilliseconds) })
    if (this.isReachable) {
      this.shownUntil = startedAt
    }
    return this.isReachable
  }
}

/** Advances the clock in steps and calls the function at each. */
async function advance (milliseconds: number, onStep: () => void): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 10) {
    mock.timers.tick(10)
    await Promise.resolve()
    await Promise.resolve()
    await Promise.resolve()
    onStep()
  }
}

async function withClock (run: (freshness: TargetFreshness, source: FakeSource) => Promise<void>): Promise<void> {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_000_000 })
  try {
    const source = new FakeSource()
    const freshness = new TargetFreshness()
    freshness.follow({ source, maximumAgeMilliseconds, logger: createTestLogger() })
    await run(freshness, source)
  } finally {
    mock.timers.reset()
  }
}

describe('TargetFreshness', () => {
  it('does not make slots wait when the store falls silent for all, as the read that shows it begins ahead', async () => {
    await withClock(async (freshness, source) => {
      source.isReachable = false
      const refused: number[] = []
      await advance(10_000, () => {
        if (!freshness.check()) {
          refused.push(source.ageMilliseconds)
        }
      })
      assert.deepEqual(refused, [])
    })
  })

  it('reads nothing while the list is followed', async () => {
    await withClock(async (freshness, source) => {
      await advance(10_000, () => {
        if (source.ageMilliseconds >= 850) {
          source.shownUntil = Date.now()
        }
        assert.ok(freshness.check())
      })
      assert.equal(source.reads, 0)
    })
  })

  it('makes slots wait for a read after a pause, also if the last read before it found nobody with access', async () => {
    await withClock(async (freshness, source) => {
      source.isReachable = false
      await advance(4_000, () => { freshness.check() })
      mock.timers.setTime(Date.now() + 8_000)
      source.isReachable = true
      assert.equal(freshness.check(), false)
      await advance(2_000, () => { freshness.check() })
      assert.equal(freshness.check(), true)
      assert.ok(source.ageMilliseconds <= maximumAgeMilliseconds)
    })
  })

  it('makes slots wait if a read that takes long has not shown that nobody has access', async () => {
    await withClock(async (freshness, source) => {
      source.isReachable = false
      source.readMilliseconds = 1_900
      let isWaiting = false
      await advance(3_000, () => { isWaiting ||= !freshness.check() })
      assert.ok(isWaiting)
    })
  })
})
