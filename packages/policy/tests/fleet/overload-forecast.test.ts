/** Tests when rejected callers are told to come back. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OverloadForecast } from '../../src/index.js'

const slotsPerMillisecond = 0.4
const latest = 10_000

describe('OverloadForecast', () => {
  it('lets callers come back one after the other, none later than they can', () => {
    const forecast = new OverloadForecast()
    const returns = Array.from({ length: 10 }, (_, index) => index + forecast.nextReturn(index, slotsPerMillisecond, latest))
    assert.ok(returns.every((at, index) => index === 0 || at > (returns[index - 1] ?? 0)))
    assert.equal(forecast.nextReturn(20, slotsPerMillisecond, 300), 300)
  })

  it('learns how long overloads last', () => {
    const forecast = new OverloadForecast()
    for (let burst = 0; burst < 10; burst += 1) {
      for (let at = 0; at <= 3_000; at += 100) {
        forecast.nextReturn(burst * 10_000 + at, slotsPerMillisecond, latest)
      }
    }
    const early = forecast.nextReturn(100_000, slotsPerMillisecond, latest)
    assert.ok(Math.abs(early - 3_000) < 200, `${early}`)
    const later = forecast.nextReturn(100_100, slotsPerMillisecond, latest)
    assert.ok(later < 3_000 && later > 2_700, `${later}`)
  })

  it('expects an overload that lasts longer than others to go on for a part of its length', () => {
    const forecast = new OverloadForecast()
    let last = 0
    for (let at = 0; at <= 8_000; at += 100) {
      last = forecast.nextReturn(at, slotsPerMillisecond, latest)
    }
    assert.ok(last >= 2_000 && last < 2_600, `${last}`)
  })

  it('counts the callers that are expected back', () => {
    const forecast = new OverloadForecast()
    for (let index = 0; index < 5; index += 1) {
      forecast.nextReturn(0, slotsPerMillisecond, 100 * (index + 1))
    }
    assert.equal(forecast.returnsWithin(0, 250), 2)
    assert.equal(forecast.returnsWithin(250, 250), 3)
    assert.equal(forecast.returnsWithin(600, 250), 0)
  })
})
