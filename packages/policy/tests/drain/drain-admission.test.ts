/** Guards against serving requests that an instance which stops must then break off. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DrainAdmission } from '../../src/index.js'

const stopsAt = 1_000_000
/** Times from the stop until the instance breaks requests off, and the longest time limits of requests. */
const periodsMilliseconds = [1_860, 7_440, 55_800]
const limitsMilliseconds = [1, 500, 2_000, 5_000, 15_000, 60_000]

describe('DrainAdmission', () => {
  it('admits everything until the instance stops', () => {
    const admission = new DrainAdmission()
    assert.ok(admission.admits(stopsAt + 60_000))
    assert.ok(admission.admits(Infinity))
  })

  for (const period of periodsMilliseconds) {
    for (const limit of limitsMilliseconds) {
      it(`admits a request with ${limit} ms left exactly as long as that ends in time, ${period} ms after the stop`, () => {
        const admission = new DrainAdmission()
        admission.begin(stopsAt + period)
        for (let arrivedAt = stopsAt; arrivedAt <= stopsAt + period; arrivedAt += 1) {
          assert.equal(admission.admits(arrivedAt + limit), arrivedAt - stopsAt <= period - limit, `${arrivedAt - stopsAt}`)
        }
      })
    }
  }

  it('admits no request without a time limit once the instance stops', () => {
    const admission = new DrainAdmission()
    admission.begin(stopsAt + 60_000)
    assert.ok(!admission.admits(Infinity))
  })
})
