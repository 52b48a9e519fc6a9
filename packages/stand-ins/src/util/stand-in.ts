/** What all stand-ins have in common. */

/** A running stand-in. */
export interface StandIn {
  /** Address as `ip:port`. */
  readonly address: string
  /** Stops at once, as a crash would. */
  close: () => Promise<void>
}
