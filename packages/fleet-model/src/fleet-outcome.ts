/** What callers get, counted. */

/** What becomes of an online request. */
export const OnlineResult = {
  /** The first event came within the objective of the first attempt. */
  InTime: 'inTime',
  /** The first attempt was refused; the first event came within the objective of a later one. */
  InTimeOnReturn: 'inTimeOnReturn',
  Late: 'late',
  /** Every attempt was refused. */
  Refused: 'refused',
  /** The answer broke off with its target. */
  Broken: 'broken',
  /** The caller gave up while its request waited. */
  GivenUp: 'givenUp'
} as const
export type OnlineResult = typeof OnlineResult[keyof typeof OnlineResult]

/** Counts of one run. */
export interface FleetOutcome {
  /** Online requests by result. */
  readonly online: Readonly<Record<OnlineResult, number>>
  readonly onlineRequests: number
  /** Requests that arrived at instances in touch with all targets while others were cut off, and those of them that were answered in time. */
  readonly requestsBesideCuts: number
  readonly inTimeBesideCuts: number
  readonly items: number
  readonly itemsInTime: number
  readonly itemsLate: number
  /** Times that a slot was revoked. */
  readonly revocations: number
  /** Refusals, of which a caller may get several. */
  readonly refusals: number
  /** Earned worth as a share of the possible worth: all, online only, items only, and the mean of the two worst windows of two seconds. */
  readonly worth: number
  readonly onlineWorth: number
  readonly batchWorth: number
  readonly worstWindows: number
  /** Milliseconds from the first attempt to the first event, of the requests that got one. */
  readonly firstEventP50: number
  readonly firstEventP99: number
  /** Mean milliseconds from the arrival of an item to its end, of those that finished. */
  readonly itemMean: number
  /** Bytes between zones, and the share of requests and items that were sent to another zone. */
  readonly crossZoneBytes: number
  readonly crossZoneShare: number
}
