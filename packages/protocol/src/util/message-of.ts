/** Error messages of caught values. */

/** Returns the message of a caught value, which need not be an `Error`. */
export function messageOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
