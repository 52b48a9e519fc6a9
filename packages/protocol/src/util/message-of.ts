/** Text of caught values. */

/** The message of a caught value, whatever was thrown. */
export function messageOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
