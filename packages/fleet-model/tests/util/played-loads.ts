/** Plays loads of the model by name, for tests. */
import assert from 'node:assert/strict'
import { fleetLoads, playSeeds, policies } from '../../src/index.js'
import type { FleetLoad, FleetOutcome, NamedPolicy } from '../../src/index.js'

const seeds = 3

/** Returns the load with a name; throws if there is none. */
export function loadNamed (name: string): FleetLoad {
  const load = fleetLoads.find(candidate => candidate.name === name)
  assert.ok(load !== undefined, `no load is named ${name}`)
  return load
}

/** Returns the policy with a name; throws if there is none. */
export function policyNamed (name: string): NamedPolicy {
  const policy = policies.find(candidate => candidate.name === name)
  assert.ok(policy !== undefined, `no policy is named ${name}`)
  return policy
}

/** Plays a load with a policy, once with each seed. */
export function play (load: string, policy = 'gateway'): readonly FleetOutcome[] {
  return playSeeds(loadNamed(load), policyNamed(policy).create, seeds)
}
