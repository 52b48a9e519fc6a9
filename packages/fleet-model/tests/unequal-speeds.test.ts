/** Tests what callers get on targets of unequal speed, by the choice of targets. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { estimate, playSeeds, speedPolicies, unequalLoad } from '../src/index.js'
import type { FleetOutcome } from '../src/index.js'

const seeds = 2

function play (policy: string, share: number, speeds?: readonly number[]): readonly FleetOutcome[] {
  const found = speedPolicies.find(({ name }) => name === policy)
  assert.ok(found !== undefined)
  return playSeeds(unequalLoad(share, speeds), found.create, seeds)
}

describe('the choice by expected time', () => {
  for (const share of [0.4, 0.8]) {
    it(`brings the first event sooner than by slots and than by two choices, and items no later, at ${share} of the capacity`, () => {
      const [chosen, slots, twoChoices] = ['expected time', 'slots', 'two choices'].map(policy => play(policy, share)) as [readonly FleetOutcome[], readonly FleetOutcome[], readonly FleetOutcome[]]
      const p50 = (outcomes: readonly FleetOutcome[]): number => estimate(outcomes, outcome => outcome.firstEventP50).mean
      const itemMean = (outcomes: readonly FleetOutcome[]): number => estimate(outcomes, outcome => outcome.itemMean).mean
      assert.ok(p50(chosen) < p50(slots) * 0.6 && p50(chosen) < p50(twoChoices) * 0.6, `${p50(chosen)}, ${p50(slots)}, ${p50(twoChoices)}`)
      assert.ok(itemMean(chosen) < itemMean(slots), `${itemMean(chosen)}, ${itemMean(slots)}`)
    })
  }

  it('changes nothing on targets of equal speed (guards against effects of noise on other deployments)', () => {
    assert.deepEqual(play('expected time', 0.8, [1]), play('slots', 0.8, [1]))
  })
})
