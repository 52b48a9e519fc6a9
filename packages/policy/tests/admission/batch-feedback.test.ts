import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BatchFeedback, defaultBatchFeedback } from '../../src/admission/batch-feedback.js'

const { periodMilliseconds, timeBetweenTokensMilliseconds, timeToFirstTokenMilliseconds } = defaultBatchFeedback

void describe('BatchFeedback', () => {
  void it('reduces the limit when first tokens or gaps near their bounds, and recovers without alarms', () => {
    for (const [first, gap] of [[timeToFirstTokenMilliseconds, null], [null, timeBetweenTokensMilliseconds]] as const) {
      const feedback = new BatchFeedback(16)
      feedback.observe(first, gap, periodMilliseconds)
      feedback.adjust(periodMilliseconds)
      assert.equal(feedback.limit, 11)
      for (let period = 2; period < 10; period++) {
        feedback.adjust(period * periodMilliseconds)
      }
      assert.equal(feedback.limit, 16)
    }
  })

  void it('never falls below one', () => {
    const feedback = new BatchFeedback(4)
    for (let period = 1; period < 20; period++) {
      feedback.observe(timeToFirstTokenMilliseconds, null, period * periodMilliseconds)
      feedback.adjust(period * periodMilliseconds)
    }
    assert.equal(feedback.limit, 1)
  })
})
