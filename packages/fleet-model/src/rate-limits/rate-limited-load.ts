/** Loads on targets that name rate limits, whose slots several owners may grant at once. Times are in milliseconds from the start. */

/** From a time on, some targets name a limit, or none. */
export interface RateLimitStep {
  readonly at: number
  /** Index of the first of the targets, and of the one behind the last. */
  readonly targets: readonly [first: number, end: number]
  /** Requests a second; null for no limit. */
  readonly requestsPerSecond: number | null
}

/** From a time on, each process sends its requests to the first of these processes, and tells all of them what answers say. */
export interface OwnerView {
  readonly from: number
  readonly ownersOf: (holder: number) => readonly number[]
}

/** A process that is stopped and woken. Messages to it wait. */
export interface ProcessPause {
  readonly process: number
  readonly at: number
  readonly forMilliseconds: number
}

/** A step of the wall clock of a process, by a positive or negative time. */
export interface ClockStep {
  readonly process: number
  readonly at: number
  readonly by: number
}

/** What is lost or late of the answers that are passed on to other processes. */
export interface AnswerExchange {
  readonly lostShare: number
  readonly maximumDelay: number
}

/** A load. Each process is a holder, and an owner for those that send it requests. */
export interface RateLimitedLoad {
  readonly holders: number
  readonly targets: number
  readonly slotsOfTarget: number
  readonly milliseconds: number
  /** Mean arrivals of online requests a second at all holders together. */
  readonly onlinePerSecond: number
  /** Factors of that rate; each applies from a time on. */
  readonly steps: ReadonlyArray<readonly [from: number, factor: number]>
  /** Batch items that always wait or run. */
  readonly items: number
  readonly limits: readonly RateLimitStep[]
  readonly views: readonly OwnerView[]
  readonly pauses: readonly ProcessPause[]
  readonly clockSteps: readonly ClockStep[]
  readonly exchange: AnswerExchange
}

/** A request that reached a target. */
export interface TargetArrival {
  readonly at: number
  readonly holder: number
  readonly isOnline: boolean
}

/** What is counted in one play. */
export interface RateLimitedOutcome {
  /** Requests by target, in the order of their times. */
  readonly arrivals: ReadonlyArray<readonly TargetArrival[]>
  /** Time of the first answer of each target that named a limit, or null. */
  readonly firstNamedAt: ReadonlyArray<number | null>
  readonly onlineRequests: number
  readonly onlineServed: number
  /** Refusals of online requests, and those of them that came while a target of which the owner knew no limit had a slot for them. */
  readonly refusals: number
  readonly refusalsBesideRoom: number
  /** Grants to items at an owner at which an online request was waiting. */
  readonly itemGrantsBesideWaiting: number
}
