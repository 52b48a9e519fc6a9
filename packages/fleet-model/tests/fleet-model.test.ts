/** Tests of the model, and of what callers get from the gateway's policy under the loads of the heaviest days. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { estimate, policies, simulateFleet } from '../src/index.js'
import { loadNamed, play, policyNamed } from './util/played-loads.js'

describe('simulateFleet', () => {
  it('gives all policies the same arrivals, and the same outcome for the same seed', () => {
    const load = loadNamed('bursts')
    const outcomes = policies.map(({ create }) => simulateFleet(load, create(), 7))
    assert.equal(new Set(outcomes.map(({ onlineRequests, items }) => `${onlineRequests} ${items}`)).size, 1)
    assert.deepEqual(simulateFleet(load, policyNamed('gateway').create(), 7), outcomes[0])
  })

  it('counts each request and item once', () => {
    const [outcome] = play('bursts-beyond-slots')
    assert.ok(outcome !== undefined && outcome.online.inTimeOnReturn > 0 && outcome.online.late > 0)
    assert.ok(outcome.itemsInTime + outcome.itemsLate <= outcome.items)
  })
})

describe('callers of the gateway', () => {
  it('get their answers in time in bursts that take all slots beside batch work', () => {
    const outcomes = play('bursts')
    assert.ok(estimate(outcomes, outcome => outcome.online.inTime / outcome.onlineRequests).mean > 0.99)
    assert.ok(estimate(outcomes, outcome => outcome.itemsInTime / outcome.items).mean > 0.99)
  })

  it('are answered, 99 of 100, in bursts a fifth beyond all slots', () => {
    const outcomes = play('bursts-beyond-slots')
    const answered = estimate(outcomes, ({ online, onlineRequests }) => (online.inTime + online.inTimeOnReturn + online.late) / onlineRequests)
    assert.ok(answered.mean > 0.99, `${answered.mean}`)
  })

  it('get their answers in time when there is more batch work than slots, of which no less is in time than slots allow', () => {
    const outcomes = play('batch-beyond-slots')
    assert.ok(estimate(outcomes, outcome => outcome.online.inTime / outcome.onlineRequests).mean > 0.99)
    assert.ok(estimate(outcomes, outcome => outcome.itemsInTime / outcome.items).mean > 0.85)
  })

  it('get their answers in time, 99 of 100, from instances in touch with targets while most are cut off', () => {
    const outcomes = play('cut-instances')
    const inTime = estimate(outcomes, ({ inTimeBesideCuts, requestsBesideCuts }) => inTimeBesideCuts / requestsBesideCuts)
    assert.ok(inTime.mean > 0.99, `${inTime.mean}`)
  })
})
