/** Messages about permits to send a request to a target. */
import type { WorkClass } from '../work-class.js'
import type { MessageType } from './message-type.js'

/** Estimated work of a request. */
export interface Cost {
  readonly promptTokens: number
  readonly completionTokens: number
}

/** A holder asks the target's owner for a permit. */
export interface PermitRequest {
  readonly type: typeof MessageType.PermitRequest
  readonly permit: string
  readonly target: string
  readonly workClass: WorkClass
  readonly client: string
  readonly cost: Cost
  /** Milliseconds that the holder is willing to wait. */
  readonly patience: number
  /** Milliseconds between the job's deadline and the end of its remaining work; 0 online. */
  readonly slack: number
}

/** The owner grants a permit. */
export interface PermitGrant {
  readonly type: typeof MessageType.PermitGrant
  readonly permit: string
  readonly target: string
}

/** The request waits at the owner; an answer will follow. */
export interface PermitQueued {
  readonly type: typeof MessageType.PermitQueued
  readonly permit: string
}

/** Reasons for which an owner refuses a permit. */
export const PermitRefusal = {
  /** The target is leaving or unknown. */
  TargetLeaving: 'target-leaving',
  /** The wait would exceed the holder's patience. */
  Busy: 'busy'
} as const

export type PermitRefusal = typeof PermitRefusal[keyof typeof PermitRefusal]

/** The owner refuses a permit; nothing may be sent under it. */
export interface PermitRefuse {
  readonly type: typeof MessageType.PermitRefuse
  readonly permit: string
  readonly reason: PermitRefusal
  /** Milliseconds after which asking again is sensible. */
  readonly retryAfter: number
}

/** The owner takes a batch permit back; the holder cancels the stream at once. */
export interface PermitRevoke {
  readonly type: typeof MessageType.PermitRevoke
  readonly permit: string
}

/** The holder is done with a permit. */
export interface PermitReturn {
  readonly type: typeof MessageType.PermitReturn
  readonly permit: string
  readonly target: string
  /** Milliseconds from grant to first token, or null if none came. */
  readonly timeToFirstToken: number | null
  /** Mean milliseconds between tokens, or null with fewer than two tokens. */
  readonly timeBetweenTokens: number | null
  /** Whether the target failed the request. */
  readonly targetFailed: boolean
}

/** The holder no longer waits for a permit it asked for. */
export interface PermitWithdraw {
  readonly type: typeof MessageType.PermitWithdraw
  readonly permit: string
  readonly target: string
}

/** A permit in use, told to a new owner or over a new link. */
export interface HeldPermit {
  readonly permit: string
  readonly target: string
  readonly workClass: WorkClass
  readonly client: string
  readonly cost: Cost
}

/** A holder tells an owner which permits it holds. */
export interface PermitRegister {
  readonly type: typeof MessageType.PermitRegister
  /** Whether these are all permits that the holder has of this owner. */
  readonly complete: boolean
  readonly permits: readonly HeldPermit[]
}

/** What an owner knows of one target. */
export interface TargetLoad {
  readonly target: string
  readonly online: number
  readonly batch: number
  readonly waiting: number
  /** How many batch permits the owner would grant now. */
  readonly batchRoom: number
  /** Milliseconds that a new online request is expected to wait. */
  readonly expectedWait: number
}

/** An owner tells all holders the load of its targets. */
export interface LoadReport {
  readonly type: typeof MessageType.LoadReport
  readonly targets: readonly TargetLoad[]
}
