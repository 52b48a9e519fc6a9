/** Which software versions can serve a request: a stream goes on only at targets of the version that began it. */
import type { FleetTarget, SlotRequest } from './fleet-messages.js'

/** Returns the software version that a request is bound to, or null if any target can serve it. */
export function versionOf ({ continues }: Pick<SlotRequest, 'continues'>): string | null {
  return continues?.softwareVersion ?? null
}

/** Whether the software version of the target allows it to serve the request. */
export function isOfVersion ({ softwareVersion }: Pick<FleetTarget, 'softwareVersion'>, { continues }: Pick<SlotRequest, 'continues'>): boolean {
  return continues === null || continues.softwareVersion === softwareVersion
}
