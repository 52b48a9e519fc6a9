/** Tests that callers get more from the gateway's policy than from plain ones, under the loads of the heaviest days. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { estimate, fleetLoads } from '../src/index.js'
import { play } from './util/played-loads.js'

describe('callers of the gateway', () => {
  for (const { name } of fleetLoads) {
    it(`get more than from one queue or from a fixed share of targets: ${name}`, () => {
      const worth = (policy: string): number => estimate(play(name, policy), outcome => outcome.worth).mean
      const gateway = worth('gateway')
      assert.ok(gateway > worth('fifo') + 0.1 && gateway > worth('reserved') + 0.1)
    })
  }
})
