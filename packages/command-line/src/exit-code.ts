/** Exit codes of the command line. */
export const ExitCode = {
  Done: 0,
  /** The command failed for a reason of its own, such as a file that cannot be read. */
  Failed: 1,
  /** The words or settings of the command are wrong; clipanion uses 1 for its own part of this. */
  Usage: 2,
  /** The system refused the request; sending it again unchanged is useless. */
  Refused: 3,
  /** The system cannot be reached or cannot serve now; the same command may work later. */
  Unavailable: 4
} as const

export type ExitCode = typeof ExitCode[keyof typeof ExitCode]
