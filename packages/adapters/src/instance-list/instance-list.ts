/** The platform's lagging list of instances and targets. */
import type { Result } from 'ts-results'

/** What a member of the list runs. */
export const MemberKind = {
  Entry: 'entry',
  Scheduler: 'scheduler',
  Batch: 'batch',
  Target: 'target'
} as const

export type MemberKind = typeof MemberKind[keyof typeof MemberKind]

/** Whether a member takes new work. */
export const MemberState = {
  Live: 'live',
  Leaving: 'leaving'
} as const

export type MemberState = typeof MemberState[keyof typeof MemberState]

/** One process of an instance, or one target. */
export interface Member {
  readonly id: string
  readonly kind: MemberKind
  /** Address as `ip:port`: the caller address of an entry, the link address of a scheduler. */
  readonly address: string
  readonly zone: string
  readonly state: MemberState
}

/** A failed look at the list. */
export class InstanceListError extends Error {
  override readonly name = 'InstanceListError'
}

/** The platform's list of live and leaving members. */
export interface InstanceList {
  fetch: () => Promise<Result<readonly Member[], InstanceListError>>
  close: () => Promise<void>
}
