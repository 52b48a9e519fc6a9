/** Exit codes of the command line. */
export const ExitCode = {
  Done: 0,
  /** The command failed, such as on a file that cannot be read, or a watched batch ended with failed items. */
  Failed: 1,
  /** The address or the key is missing. For other wrong arguments clipanion exits with 1. */
  Usage: 2,
  /** The request was rejected, by the system or by a check before it was sent; retrying it unchanged fails again. */
  Refused: 3,
  /** The system is unreachable or cannot serve the request now; retrying the same command later may succeed. */
  Unavailable: 4
} as const

export type ExitCode = typeof ExitCode[keyof typeof ExitCode]
