import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BatchFeedback, defaultBatchFeedbackOptions } from '../../src/admission/batch-feedback.js'

const {
  reductionThreshold,
  initialFraction,
  adjustmentMilliseconds,
  sampleLifetimeMilliseconds,
  maximumTimeBetweenTokensMilliseconds,
  maximumTimeToFirstTokenMilliseconds
} = defaultBatchFeedbackOptions
const concurrency = 16
const initialLimit = concurrency * initialFraction

void describe('BatchFeedback', () => {
  void it('reduces the limit in proportion to the excess of either latency, and raises it again later', () => {
    for (const [first, gap] of [[maximumTimeToFirstTokenMilliseconds * 2, null], [null, maximumTimeBetweenTokensMilliseconds * 2]] as const) {
      const feedback = new BatchFeedback(concurrency)
      feedback.observe(first, gap, 0, adjustmentMilliseconds)
      feedback.adjust(adjustmentMilliseconds)
      assert.equal(feedback.limit, Math.floor(initialLimit * reductionThreshold / 2))
      for (let now = adjustmentMilliseconds; now < 20 * sampleLifetimeMilliseconds; now += adjustmentMilliseconds) {
        feedback.observe(1, 1, now, now)
        feedback.adjust(now)
      }
      assert.equal(feedback.limit, concurrency)
    }
  })

  void it('ignores requests that began before the last reduction', () => {
    const feedback = new BatchFeedback(concurrency)
    feedback.observe(null, maximumTimeBetweenTokensMilliseconds * 2, 0, 1_000)
    feedback.adjust(1_000)
    const reduced = feedback.limit
    feedback.observe(null, maximumTimeBetweenTokensMilliseconds * 2, 999, 1_300)
    feedback.adjust(1_300)
    assert.equal(feedback.limit, reduced)
    feedback.observe(null, maximumTimeBetweenTokensMilliseconds * 2, 1_001, 1_600)
    feedback.adjust(1_600)
    assert.ok(feedback.limit < reduced)
  })

  void it('keeps the limit while there are no online requests', () => {
    const feedback = new BatchFeedback(concurrency)
    feedback.observe(null, maximumTimeBetweenTokensMilliseconds * 2, 0, adjustmentMilliseconds)
    feedback.adjust(adjustmentMilliseconds)
    const learned = feedback.limit
    feedback.adjust(100 * sampleLifetimeMilliseconds)
    assert.equal(feedback.limit, learned)
  })

  void it('converges to a limit that keeps the time between tokens within its bound', () => {
    const feedback = new BatchFeedback(concurrency)
    const gapAt = (limit: number): number => 20 + 5 * limit
    let late = 0
    for (let now = adjustmentMilliseconds; now < 60_000; now += adjustmentMilliseconds) {
      const gap = gapAt(feedback.limit)
      late += now > 10_000 && gap > maximumTimeBetweenTokensMilliseconds ? 1 : 0
      feedback.observe(null, gap, now, now)
      feedback.adjust(now)
    }
    assert.equal(late, 0)
    assert.ok(feedback.limit >= 3)
  })

  void it('never reduces the limit below one', () => {
    const feedback = new BatchFeedback(4)
    for (let now = adjustmentMilliseconds; now < 20_000; now += adjustmentMilliseconds) {
      feedback.observe(maximumTimeToFirstTokenMilliseconds * 9, null, now, now)
      feedback.adjust(now)
    }
    assert.equal(feedback.limit, 1)
  })
})
