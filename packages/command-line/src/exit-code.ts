/** Exit codes of the command line. */
export const ExitCode = {
  /** The command succeeded; a watched batch completed without failed items. */
  Done: 0,
  /** The command failed, for example because a file cannot be read, or a watched batch did not complete without failed items. */
  Failed: 1,
  /** Wrong usage: the address or the key is missing. For other wrong arguments clipanion exits with 1. */
  Usage: 2,
  /** The request was rejected, by the entry or by a check before it was sent; retrying it unchanged fails again. */
  Refused: 3,
  /** The entry is unreachable or cannot serve the request now; retrying the same command later may succeed. */
  Unavailable: 4
} as const

export type ExitCode = typeof ExitCode[keyof typeof ExitCode]
