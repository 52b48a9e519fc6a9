/** Times of which the age is measured by both clocks: the monotonic clock omits the time for which a process is stopped, and the wall clock may be set. */

/** A time by both clocks, in milliseconds. */
export interface ClockMark {
  /** Since the epoch. */
  readonly wall: number
  /** By the clock of `performance`, which is never set. */
  readonly steady: number
}

/** A time that lies infinitely far back. */
export const longAgo: ClockMark = { wall: -Infinity, steady: -Infinity }

/** Returns the present time. */
export function markNow (): ClockMark {
  return { wall: Date.now(), steady: performance.now() }
}

/** Returns the time that lies the given number of milliseconds after a mark, but not after the present. */
export function laterMark ({ wall, steady }: ClockMark, milliseconds: number): ClockMark {
  const now = markNow()
  return { wall: Math.min(now.wall, wall + milliseconds), steady: Math.min(now.steady, steady + milliseconds) }
}

/** Returns the milliseconds since a mark, by the clock that shows more of them. */
export function ageOf ({ wall, steady }: ClockMark): number {
  return Math.max(Date.now() - wall, performance.now() - steady)
}
