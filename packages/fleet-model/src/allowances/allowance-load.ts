/** Loads of client accounts on a fleet whose instances fail. Times are in milliseconds from the start. */
import type { Account, AllowanceOptions } from '@arbutusloft/policy'

/** Requests of one account, sent to any instance that runs. */
export interface AccountDemand {
  readonly name: string
  /** Mean requests a second; each step applies from a time on. */
  readonly steps: ReadonlyArray<readonly [from: number, perSecond: number]>
  /** Requests that it sends in one window at most; Infinity for no bound. A window is a tenth longer here, for the ways of messages and for buckets. */
  readonly atMost: number
}

/** Instances that are killed, and started again without any state. */
export interface Loss {
  readonly at: number
  readonly instances: readonly number[]
  /** Time until they run again; Infinity if they do not. */
  readonly restartAfter: number
}

/** Instances that are stopped and resumed. Messages to them wait. */
export interface Stop {
  readonly at: number
  readonly instance: number
  readonly forMilliseconds: number
  /** Whether the clock of the instance counts the time. */
  readonly isCounted: boolean
}

/** Instances that reach each other only within their group; the others form one group. */
export interface Division {
  readonly from: number
  readonly until: number
  readonly groups: ReadonlyArray<readonly number[]>
}

/** From a time on, requests of these instances go to the second owner of each service, as if they saw other members. */
export interface DifferentView {
  readonly from: number
  readonly until: number
  readonly instances: readonly number[]
}

/** A load. */
export interface AllowanceLoad {
  readonly instances: number
  readonly services: number
  readonly milliseconds: number
  readonly options: AllowanceOptions
  /** Accounts of the configuration from a time on. */
  readonly configurations: ReadonlyArray<readonly [from: number, accounts: readonly Account[]]>
  readonly demands: readonly AccountDemand[]
  /** Share of requests that wait for a slot for up to 600 ms. */
  readonly waitingShare: number
  readonly lostShare: number
  readonly losses: readonly Loss[]
  readonly stops: readonly Stop[]
  readonly divisions: readonly Division[]
  readonly views: readonly DifferentView[]
}

/** A refusal. */
export interface Refusal {
  readonly account: string
  readonly at: number
  readonly retryAfter: number
}

/** What happened in one play. */
export interface AllowanceOutcome {
  /** Times at which requests reached targets, by account, in order. */
  readonly arrivals: ReadonlyMap<string, readonly number[]>
  readonly refusals: readonly Refusal[]
  /** Datagrams of owners with charges, and of holders with reports. */
  readonly chargesSent: number
  readonly reportsSent: number
  readonly queriesSent: number
  /** Requests that owners have decided. */
  readonly decisions: number
}
