import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { backoffMilliseconds, defaultBackoff } from '../../src/retries/backoff.js'
import { defaultRetryBudget, RetryBudget } from '../../src/retries/retry-budget.js'

function retries (budget: RetryBudget, tries: number): number {
  return Array.from({ length: tries }, () => budget.tryRetry()).filter(Boolean).length
}

void describe('RetryBudget', () => {
  void it('lets every request in flight move once when a target dies', () => {
    const budget = new RetryBudget()
    for (let index = 0; index < 100; index++) {
      budget.onBegin()
    }
    assert.ok(retries(budget, 100) === 100)
  })

  void it('keeps lasting failure to a share of first tries', () => {
    const budget = new RetryBudget()
    let allowed = 0
    const requests = 10_000
    for (let index = 0; index < requests; index++) {
      budget.onBegin()
      allowed += retries(budget, 5)
      budget.onEnd()
    }
    const perRequest = defaultRetryBudget.share + defaultRetryBudget.inFlightShare
    assert.ok(allowed <= requests * perRequest + defaultRetryBudget.reserve)
  })
})

void describe('backoffMilliseconds', () => {
  void it('grows with the attempt, within its cap, spread over the whole range', () => {
    assert.equal(backoffMilliseconds(1, 1), defaultBackoff.baseMilliseconds)
    assert.equal(backoffMilliseconds(3, 0.5), defaultBackoff.baseMilliseconds * 2)
    assert.equal(backoffMilliseconds(50, 1), defaultBackoff.capMilliseconds)
    assert.equal(backoffMilliseconds(5, 0), 0)
  })
})
