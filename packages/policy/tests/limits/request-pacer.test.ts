/** Tests how many requests a pacer allows in any time. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RequestPacer } from '../../src/index.js'

/** Sends whatever the pacer allows, asked every `step` milliseconds; returns the times. */
function sendAll (pacer: RequestPacer, from: number, to: number, step: number): readonly number[] {
  const times: number[] = []
  for (let now = from; now < to; now += step) {
    for (let left = pacer.allowance(now); left > 0; left -= 1) {
      pacer.take(now)
      times.push(now)
    }
  }
  return times
}

describe('RequestPacer', () => {
  for (const rate of [0.25, 1, 2.2, 3, 12, 100]) {
    it(`keeps ${rate} a second, with a quarter of a second and two requests to spare in any time`, () => {
      const times = sendAll(new RequestPacer(rate, 0), 0, 20_000, 25)
      assert.ok(times.length >= Math.floor(19.5 * rate) - 1, `${times.length} sent`)
      for (const [index, from] of times.entries()) {
        const within = times.slice(index).filter(time => time < from + 4_000).length
        assert.ok(within <= 4.25 * rate + 2, `${within} within 4 s of ${from} ms`)
      }
    })
  }

  it('allows nothing at first, since others may have sent requests', () => {
    const pacer = new RequestPacer(4, 0)
    assert.deepEqual([pacer.allowance(0), pacer.allowance(249), pacer.allowance(250)], [0, 0, 1])
  })

  it('pays for the requests of others', () => {
    const pacer = new RequestPacer(2, 0)
    pacer.take(1_000)
    pacer.take(1_000)
    pacer.take(1_000)
    // Due at 2,750 ms, and allowed an interval and 250 ms before that.
    assert.deepEqual([pacer.allowance(1_999), pacer.allowance(2_000), pacer.allowance(2_500)], [0, 1, 2])
  })

  it('follows a rate that falls and rises', () => {
    const pacer = new RequestPacer(10, 0)
    sendAll(pacer, 0, 5_000, 25)
    pacer.setRate(1, 5_000)
    assert.ok(sendAll(pacer, 5_000, 9_000, 25).length <= 5)
    pacer.setRate(10, 9_000)
    assert.ok(sendAll(pacer, 9_000, 10_000, 25).length >= 8)
  })

  it('keeps the rate while the clock is set back, and forward', () => {
    for (const step of [-3_600_000, -7_000, -300, 5_000]) {
      const pacer = new RequestPacer(3, 0)
      const before = sendAll(pacer, 0, 10_000, 25)
      const after = sendAll(pacer, 10_000 + step, 14_000 + step, 25).length
      assert.ok(before.length >= 28, `${before.length} sent before`)
      assert.ok(after >= 11 && after <= 4.25 * 3 + 2, `${after} sent in 4 s after a step of ${step} ms`)
    }
  })

  it('sends again soon after the clock was set back by an hour', () => {
    const pacer = new RequestPacer(2, 3_600_000)
    pacer.take(3_600_000)
    assert.ok(sendAll(pacer, 0, 6_000, 25).length >= 2)
  })
})
