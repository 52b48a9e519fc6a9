/** Tests how callers that come back are told from newcomers. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CallerBudgets } from '../../src/online/caller-budgets.js'

describe('CallerBudgets', () => {
  it('returns what a later attempt lacks to the timeouts of first attempts on the same route', () => {
    const budgets = new CallerBudgets()
    assert.equal(budgets.spentOf('ask', 5_000, 0), 0)
    assert.equal(budgets.spentOf('ask', 4_990, 1), 0)
    assert.equal(budgets.spentOf('ask', 3_600, 2), 1_400)
    assert.equal(budgets.spentOf('book', 3_600, 3), 0)
  })

  it('forgets timeouts that are not used any more', () => {
    const budgets = new CallerBudgets()
    budgets.spentOf('ask', 5_000, 0)
    assert.equal(budgets.spentOf('ask', 2_000, 31_000), 3_000)
    assert.equal(budgets.spentOf('ask', 2_000, 62_000), 0)
  })
})
