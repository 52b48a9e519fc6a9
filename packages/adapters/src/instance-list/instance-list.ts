/** Interface of the platform's list of instances and targets, which lags behind their real state. */
import type { Result } from 'ts-results'

/** Role of a member of the list. */
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

/** A process on an instance, or a target. */
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

/** The platform's list of live and leaving members. */
export interface InstanceList {
  /** Returns the current members. */
  fetch: () => Promise<Result<readonly Member[], InstanceListError>>
  close: () => Promise<void>
}
