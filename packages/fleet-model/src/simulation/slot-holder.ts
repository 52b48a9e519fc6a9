/** A request or item that asks the policy for slots. */

/** Receives the policy's decisions on one permit. */
export interface SlotHolder {
  onGranted: (target: string) => void
  /** @param retryAfter milliseconds */
  onRefused: (retryAfter: number) => void
  /** The slot must be released. */
  onRevoked: () => void
  /** The target of the granted slot has broken off what it ran. */
  onTargetLost: () => void
}
