/** Registry of the policies that are compared. */
import { FleetAdmission } from '@arbutusloft/policy'
import type { NamedPolicy } from '../compare-policies.js'
import { FifoAdmission } from './fifo-admission.js'
import { ReservedAdmission } from './reserved-admission.js'

/** Share of the slots that the loads' batch work needs on average. */
const reservedBatchShare = 0.35

/** All policies: that of the gateway, and baselines. */
export const policies: readonly NamedPolicy[] = [
  { name: 'gateway', create: () => new FleetAdmission() },
  { name: 'fifo', create: () => new FifoAdmission() },
  { name: 'reserved', create: () => new ReservedAdmission(reservedBatchShare) }
]
