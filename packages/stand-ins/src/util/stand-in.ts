/** Interface that all stand-ins share. */

/** A running stand-in. */
export interface StandIn {
  /** Address as `ip:port`. */
  readonly address: string
  /** Stops immediately and closes open connections, as a crash would. */
  close: () => Promise<void>
}
