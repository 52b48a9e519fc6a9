/** Tests what the price of traffic between availability zones changes for callers and for the bytes between zones. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { estimate, playSeeds, zoneLoads, zonePolicies } from '../src/index.js'
import type { FleetOutcome } from '../src/index.js'

const seeds = 2

function play (loadName: string, policyName: string): readonly FleetOutcome[] {
  const load = zoneLoads.find(({ name }) => name === loadName)
  const policy = zonePolicies.find(({ name }) => name === policyName)
  assert.ok(load !== undefined && policy !== undefined)
  return playSeeds(load, policy.create, seeds)
}

describe('a price of traffic between zones', () => {
  for (const load of ['equal-0.5', 'short-0.5', 'equal-0.8', 'short-0.8', 'empty-0.8']) {
    it(`lets fewer bytes pass, and first events come no later than the way between zones takes: ${load}`, () => {
      const [before, after] = ['default', 'price 0.1'].map(policy => play(load, policy)) as [readonly FleetOutcome[], readonly FleetOutcome[]]
      const meanOf = (outcomes: readonly FleetOutcome[], figureOf: (outcome: FleetOutcome) => number): number => estimate(outcomes, figureOf).mean
      const bytes = [before, after].map(outcomes => meanOf(outcomes, outcome => outcome.crossZoneBytes)) as [number, number]
      assert.ok(bytes[1] < bytes[0], bytes.join(', '))
      assert.ok(meanOf(after, outcome => outcome.firstEventP50) < meanOf(before, outcome => outcome.firstEventP50) + 2)
      assert.ok(meanOf(after, outcome => outcome.firstEventP99) < meanOf(before, outcome => outcome.firstEventP99) + 5)
      assert.equal(meanOf(after, outcome => outcome.online.inTime / outcome.onlineRequests), 1)
    })
  }
})
