/** Positions of records within a stream, as one rising number. */

/** Greatest number of records in one entry of the log. */
export const recordsPerEntry = 4_096

/** The position of a record: its entry's offset, then its place within the entry. */
export function positionOf (offset: number, index: number): number {
  return offset * recordsPerEntry + index
}
