/** Guards against a number of metric series that grows with the client accounts, and against requests that are counted twice or not at all. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AccountCounts, AccountOutcome } from '../../src/accounts/account-counts.js'

const maximumSeries = 21

function totalOf (counts: AccountCounts, account?: string): number {
  return counts.series().filter(series => account === undefined || series.account === account).reduce((sum, { count }) => sum + count, 0)
}

describe('AccountCounts', () => {
  it('names the 20 accounts with the most requests, and counts the others together', () => {
    const counts = new AccountCounts()
    let recorded = 0
    // Account 73 has the most requests and comes last.
    for (let number = 1; number <= 73; number += 1) {
      for (let request = 0; request < 10 * number; request += 1) {
        counts.record(`account-${number}`, 200)
        recorded += 1
      }
    }
    const names = new Set(counts.series().map(({ account }) => account))
    assert.equal(names.size, maximumSeries)
    assert.ok(names.has('others') && names.has('account-73') && names.has('account-60'))
    assert.ok(!names.has('account-1'))
    assert.equal(totalOf(counts), recorded)
  })

  it('keeps its bound and its sum under random requests of many accounts', () => {
    const counts = new AccountCounts()
    const requests = 100_000
    for (let request = 0; request < requests; request += 1) {
      counts.record(`account-${Math.floor(Math.random() ** 3 * 6_000)}`, request % 7 === 0 ? null : 200)
    }
    assert.ok(new Set(counts.series().map(({ account }) => account)).size <= maximumSeries)
    assert.ok(counts.series().length <= maximumSeries * Object.keys(AccountOutcome).length)
    assert.equal(totalOf(counts), requests)
  })

  it('tells outcomes apart', () => {
    const counts = new AccountCounts()
    for (const status of [200, 202, 404, 429, 503, 408, 500, 504, null]) {
      counts.record('a', status)
    }
    const byOutcome = Object.fromEntries(counts.series().map(({ outcome, count }) => [outcome, count]))
    assert.deepEqual(byOutcome, { served: 2, client_error: 1, refused: 3, server_error: 2, broken_off: 1 })
  })

  it('counts an account that is called others with the others', () => {
    const counts = new AccountCounts()
    counts.record('others', 200)
    assert.deepEqual(counts.series(), [{ account: 'others', outcome: 'served', count: 1 }])
  })
})
