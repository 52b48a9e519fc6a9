/** The gateway's policy without reports of times, as before targets were told apart by speed: least slots in use. */
import { FleetAdmission } from '@arbutusloft/policy'

/** Ignores the times of answers. */
export class SlotsAdmission extends FleetAdmission {
  override recordTiming (): void {}
}
