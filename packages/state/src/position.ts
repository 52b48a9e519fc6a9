/** Positions of records within a stream, as one number that increases from record to record. */

/** Maximum number of records in one entry of the log. */
export const maximumRecordsPerEntry = 4_096

/**
 * Returns the position of a record.
 *
 * @param offset offset of the entry that holds the record
 * @param index index of the record within the entry
 */
export function positionOf (offset: number, index: number): number {
  return offset * maximumRecordsPerEntry + index
}
