/** Interface of the platform's instance list. Its members are processes and targets; it lags behind their real state. */
import type { Result } from 'ts-results'

/** Kind of a member: the role of a process, or a target. Batch processes run batch jobs. */
export const MemberKind = {
  Entry: 'entry',
  Scheduler: 'scheduler',
  Batch: 'batch',
  Target: 'target'
} as const

export type MemberKind = typeof MemberKind[keyof typeof MemberKind]

/** Whether a member accepts new work (`live`) or shuts down (`leaving`). */
export const MemberState = {
  Live: 'live',
  Leaving: 'leaving'
} as const

export type MemberState = typeof MemberState[keyof typeof MemberState]

/** A member of the list: a process on an instance, or a target. */
export interface Member {
  readonly id: string
  readonly kind: MemberKind
  /** Address as `ip:port`: for an entry its caller address, for a scheduler its link address. */
  readonly address: string
  readonly zone: string
  readonly state: MemberState
}

/** A failed read of the instance list. */
export class InstanceListError extends Error {
  override readonly name = 'InstanceListError'
}

/** Client for the platform's list of live and leaving members. */
export interface InstanceList {
  /** Returns the current members. */
  fetch: () => Promise<Result<readonly Member[], InstanceListError>>
  close: () => Promise<void>
}
