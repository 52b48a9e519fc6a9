import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { backoffMilliseconds, defaultBackoff } from '../../src/retries/backoff.js'
import { defaultRetryBudget, RetryBudget } from '../../src/retries/retry-budget.js'

function retries (budget: RetryBudget, tries: number): number {
  return Array.from({ length: tries }, () => budget.tryRetry()).filter(Boolean).length
}

void describe('RetryBudget', () => {
  void it('allows one retry for every request in flight when a target fails', () => {
    const budget = new RetryBudget()
    for (let index = 0; index < 100; index++) {
      budget.onBegin()
    }
    assert.ok(retries(budget, 100) === 100)
  })

  void it('limits retries to a fraction of the requests during a lasting failure', () => {
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
  void it('grows with each attempt up to the cap, with jitter over the whole range', () => {
    assert.equal(backoffMilliseconds(1, 1), defaultBackoff.baseMilliseconds)
    assert.equal(backoffMilliseconds(3, 0.5), defaultBackoff.baseMilliseconds * 2)
    assert.equal(backoffMilliseconds(50, 1), defaultBackoff.capMilliseconds)
    assert.equal(backoffMilliseconds(5, 0), 0)
  })
})
