/** Guards against serving requests that an instance which stops must then break off. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DrainAdmission } from '../../src/index.js'

const now = 1_000_000
const endAt = now + 8_000

function admissionAfter (durations: readonly number[], observedAt = now): DrainAdmission {
  const admission = new DrainAdmission()
  durations.forEach(duration => { admission.observe('route', duration, observedAt) })
  return admission
}

describe('DrainAdmission', () => {
  it('admits everything until the instance stops', () => {
    assert.ok(new DrainAdmission().admits({ kind: 'route', limitMilliseconds: 60_000 }, now))
  })

  it('admits what its own limit ends in time, and nothing that may take longer without experience', () => {
    const admission = admissionAfter(Array.from({ length: 4 }, () => 10))
    admission.begin(endAt)
    for (const [limitMilliseconds, at, isAdmitted] of [[5_000, now + 3_000, true], [5_000, now + 3_001, false], [30_000, now, false], [1_500, now + 6_500, true]] as const) {
      assert.equal(admission.admits({ kind: 'route', limitMilliseconds }, at), isAdmitted, `${limitMilliseconds} at ${at - now}`)
    }
  })

  for (const [requests, factor] of [[5, 3], [29, 3], [30, 2]] as const) {
    it(`admits what has time for ${factor} times the longest of ${requests} recent requests of its kind`, () => {
      const admission = admissionAfter([900, ...Array.from({ length: requests - 1 }, () => 100)])
      admission.begin(endAt)
      assert.ok(admission.admits({ kind: 'route', limitMilliseconds: 5_000 }, endAt - 900 * factor))
      assert.ok(!admission.admits({ kind: 'route', limitMilliseconds: 5_000 }, endAt - 900 * factor + 1))
      assert.ok(!admission.admits({ kind: 'other', limitMilliseconds: 5_000 }, endAt - 900 * factor))
    })
  }

  it('forgets long requests after a minute, and never before half of one', () => {
    for (const [age, isAdmitted] of [[29_000, false], [60_001, true]] as const) {
      const admission = admissionAfter([4_000], now - age)
      Array.from({ length: 30 }).forEach((_, index) => { admission.observe('route', 100, now - 20_000 + index) })
      admission.begin(endAt)
      assert.equal(admission.admits({ kind: 'route', limitMilliseconds: 5_000 }, endAt - 1_000), isAdmitted, `${age}`)
    }
  })
})
