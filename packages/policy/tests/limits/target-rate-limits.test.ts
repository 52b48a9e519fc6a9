/** Tests which rate limit of a target is in force, from reports that arrive in any order. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { TargetRateLimits } from '../../src/index.js'
import type { RateLimitReport } from '../../src/index.js'

function report (overrides: Partial<RateLimitReport> = {}): RateLimitReport {
  return { service: 's', target: 't', born: 5, requestsPerSecond: 3, sentAgo: 0, heardAgo: 0, ...overrides }
}

describe('TargetRateLimits', () => {
  it('keeps the limit that was heard last, whatever the order in which reports arrive', () => {
    const limits = new TargetRateLimits()
    assert.deepEqual(limits.observe(report(), 1_000), { target: 't', previous: null, current: 3 })
    assert.deepEqual(limits.observe(report({ requestsPerSecond: 2 }), 2_000), { target: 't', previous: 3, current: 2 })
    assert.equal(limits.observe(report({ requestsPerSecond: 4, heardAgo: 900 }), 2_500), null)
    assert.equal(limits.limitOf('t', 5), 2)
  })

  it('ends a limit by an answer without one whose request was sent after the limit was heard, and by no earlier one', () => {
    const limits = new TargetRateLimits()
    limits.observe(report(), 1_000)
    assert.equal(limits.observe(report({ requestsPerSecond: null, sentAgo: 500 }), 1_400), null)
    assert.equal(limits.limitOf('t', 5), 3)
    assert.deepEqual(limits.observe(report({ requestsPerSecond: null, sentAgo: 300 }), 1_400), { target: 't', previous: 3, current: null })
    assert.equal(limits.limitOf('t', 5), null)
  })

  it('is not brought back by an instance that has not heard of the end', () => {
    const former = new TargetRateLimits()
    former.observe(report(), 1_000)
    const limits = new TargetRateLimits()
    limits.observe(report(), 1_000)
    limits.observe(report({ requestsPerSecond: null, sentAgo: 100 }), 2_000)
    const passedOn = former.reportOf('t', 5, 3_000)
    assert.ok(passedOn !== null)
    assert.equal(limits.observe(passedOn, 3_000), null)
    assert.equal(limits.limitOf('t', 5), null)
  })

  it('knows no limit of a target that started later under the same id, and ignores what is said of an earlier one', () => {
    const limits = new TargetRateLimits()
    limits.observe(report(), 1_000)
    assert.equal(limits.limitOf('t', 6), null)
    limits.observe(report({ born: 6, requestsPerSecond: 8 }), 2_000)
    assert.equal(limits.observe(report({ born: 5, requestsPerSecond: 1 }), 3_000), null)
    assert.deepEqual([limits.limitOf('t', 5), limits.limitOf('t', 6)], [null, 8])
  })

  it('passes on the limits in force, with their ages', () => {
    const limits = new TargetRateLimits()
    limits.observe(report(), 1_000)
    limits.observe(report({ target: 'v' }), 1_000)
    limits.observe(report({ target: 'v', requestsPerSecond: null }), 1_100)
    assert.deepEqual(limits.reportOf('t', 5, 1_700), report({ sentAgo: 700, heardAgo: 700 }))
    assert.deepEqual([limits.reportOf('t', 6, 1_700), limits.reportOf('v', 5, 1_700), limits.reportOf('w', 5, 1_700)], [null, null, null])
  })

  it('ends the limit of an earlier start by the first answer of a later one', () => {
    const limits = new TargetRateLimits()
    limits.observe(report(), 1_000)
    assert.deepEqual(limits.observe(report({ born: 6, requestsPerSecond: null }), 2_000), { target: 't', previous: 3, current: null })
    assert.equal(limits.reportOf('t', 5, 3_000), null)
  })

  it('takes no report of a target that starts in a far future, which would hide all later ones', () => {
    const limits = new TargetRateLimits()
    assert.equal(limits.observe(report({ born: 1e15 }), 1_000), null)
    assert.notEqual(limits.observe(report(), 1_000), null)
  })

  it('ends and changes limits also after the clock was set back', () => {
    const limits = new TargetRateLimits()
    limits.observe(report(), 100_000)
    assert.notEqual(limits.observe(report({ requestsPerSecond: 2 }), 50_000), null)
    assert.notEqual(limits.observe(report({ requestsPerSecond: null, sentAgo: 10 }), 50_100), null)
  })
})
