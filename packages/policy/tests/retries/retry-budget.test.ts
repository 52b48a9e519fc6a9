import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { backoffMilliseconds, defaultBackoffOptions } from '../../src/retries/backoff.js'
import { defaultRetryBudgetOptions, RetryBudget } from '../../src/retries/retry-budget.js'

function countGrantedRetries (budget: RetryBudget, attempts: number): number {
  return Array.from({ length: attempts }, () => budget.tryTakeRetry()).filter(Boolean).length
}

void describe('RetryBudget', () => {
  void it('allows one retry for every request in flight when a target fails', () => {
    const budget = new RetryBudget()
    for (let index = 0; index < 100; index++) {
      budget.onRequestStart()
    }
    assert.ok(countGrantedRetries(budget, 100) === 100)
  })

  void it('limits retries to a fraction of the requests during a lasting failure', () => {
    const budget = new RetryBudget()
    let allowed = 0
    const requests = 10_000
    for (let index = 0; index < requests; index++) {
      budget.onRequestStart()
      allowed += countGrantedRetries(budget, 5)
      budget.onRequestEnd()
    }
    const perRequest = defaultRetryBudgetOptions.retryRatio + defaultRetryBudgetOptions.inFlightRatio
    assert.ok(allowed <= requests * perRequest + defaultRetryBudgetOptions.reserveRetries)
  })
})

void describe('backoffMilliseconds', () => {
  void it('grows with each attempt up to the cap, with jitter over the whole range', () => {
    assert.equal(backoffMilliseconds(1, 1), defaultBackoffOptions.baseMilliseconds)
    assert.equal(backoffMilliseconds(3, 0.5), defaultBackoffOptions.baseMilliseconds * 2)
    assert.equal(backoffMilliseconds(50, 1), defaultBackoffOptions.capMilliseconds)
    assert.equal(backoffMilliseconds(5, 0), 0)
  })
})
