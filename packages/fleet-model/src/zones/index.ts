/** Registry of loads on availability zones, and of prices of the traffic between them. */
import { defaultFleetAdmissionOptions, FleetAdmission } from '@arbutusloft/policy'
import type { NamedPolicy } from '../compare-policies.js'
import type { FleetLoad } from '../fleet-load.js'
import { unequalLoad } from '../speeds/index.js'

/** Targets of each zone. */
const zoneSizes = { equal: [13, 13, 13], short: [5, 17, 17], empty: [0, 19, 20] } as const
const shares = [0.5, 0.8]
/** Mean of 0.5 to 1.4 ms. */
const crossMilliseconds = 0.95
/** Bytes of a request of 250 prompt tokens with 20 events, and of an item with 140. */
const bytesOfRequest = 6_000
const bytesOfItem = 30_000

/** Zones with as many targets each, with one short of them, and with one without any, at two shares of the capacity. */
export const zoneLoads: readonly FleetLoad[] = Object.entries(zoneSizes).flatMap(([name, targets]) => shares.map(share => ({
  ...unequalLoad(share, [1]),
  name: `${name}-${share}`,
  description: `zones of ${targets.join(', ')} targets, at ${share} of their capacity`,
  zones: { crossMilliseconds, bytesOfRequest, bytesOfItem, targets }
})))

/** The default, under which zones outweigh one busy slot, and prices of a gigabyte in hours of waiting. */
export const zonePolicies: readonly NamedPolicy[] = [
  { name: 'default', create: () => new FleetAdmission() },
  ...[0.01, 0.1, 1].map(crossZonePrice => ({ name: `price ${crossZonePrice}`, create: () => new FleetAdmission({ ...defaultFleetAdmissionOptions, crossZonePrice }) }))
]
