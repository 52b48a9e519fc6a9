/** Registry of what is compared on targets of unequal speed. */
import { FleetAdmission } from '@arbutusloft/policy'
import type { NamedPolicy } from '../compare-policies.js'
import { SlotsAdmission } from './slots-admission.js'
import { TwoChoicesAdmission } from './two-choices-admission.js'

export { unequalLoad, unequalSpeeds } from './unequal-loads.js'

/** Ways to choose a target. */
export const speedPolicies: readonly NamedPolicy[] = [
  { name: 'slots', create: () => new SlotsAdmission() },
  { name: 'expected time', create: () => new FleetAdmission() },
  { name: 'two choices', create: () => new TwoChoicesAdmission() }
]
