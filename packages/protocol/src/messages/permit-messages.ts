/**
 * Messages about permits. A permit is the permission to send one request to a target. The entry or batch process
 * that sends the request holds it; the scheduler that owns the target grants it.
 */
import type { WorkClass } from '../work-class.js'
import type { MessageType } from './message-type.js'

/** Estimated work of a request, in tokens. */
export interface Cost {
  readonly promptTokens: number
  readonly completionTokens: number
}

/** Requests a permit from the scheduler that owns the target. */
export interface PermitRequest {
  readonly type: typeof MessageType.PermitRequest
  /** Identifier of the permit, chosen by the holder. */
  readonly permit: string
  readonly target: string
  readonly workClass: WorkClass
  readonly client: string
  readonly cost: Cost
  /** Longest time to wait for the permit, in milliseconds. */
  readonly patience: number
  /**
   * Milliseconds between the estimated end of the job's remaining work and its deadline, negative if it will be late;
   * 0 for online requests.
   */
  readonly slack: number
}

/** Grants a permit. */
export interface PermitGrant {
  readonly type: typeof MessageType.PermitGrant
  readonly permit: string
  readonly target: string
}

/** Confirms that the permit request is queued; a grant or a rejection follows. */
export interface PermitQueued {
  readonly type: typeof MessageType.PermitQueued
  readonly permit: string
}

/** Reasons why an owner rejects a permit request. */
export const PermitRefusal = {
  /** The target is draining, or unknown to the owner. */
  TargetLeaving: 'target-leaving',
  /** The wait would exceed the request's `patience`. */
  Busy: 'busy'
} as const

export type PermitRefusal = typeof PermitRefusal[keyof typeof PermitRefusal]

/** Rejects a permit request; nothing may be sent to the target. */
export interface PermitRefuse {
  readonly type: typeof MessageType.PermitRefuse
  readonly permit: string
  readonly reason: PermitRefusal
  /** Milliseconds to wait before requesting again. */
  readonly retryAfter: number
}

/** Preempts a batch request: revokes its permit, and the holder aborts the request at once. */
export interface PermitRevoke {
  readonly type: typeof MessageType.PermitRevoke
  readonly permit: string
}

/** Returns a permit after use, with the latency that the holder observed. */
export interface PermitReturn {
  readonly type: typeof MessageType.PermitReturn
  readonly permit: string
  readonly target: string
  /** Milliseconds from the dispatch to the first token, or null if none came. */
  readonly timeToFirstToken: number | null
  /** Mean milliseconds between tokens, or null with fewer than two tokens. */
  readonly timeBetweenTokens: number | null
  /** Whether the request failed at the target. */
  readonly targetFailed: boolean
}

/** Withdraws a permit request that has not been answered. */
export interface PermitWithdraw {
  readonly type: typeof MessageType.PermitWithdraw
  readonly permit: string
  readonly target: string
}

/** A permit in use, as reported to a new owner of its target or over a new link. */
export interface HeldPermit {
  readonly permit: string
  readonly target: string
  readonly workClass: WorkClass
  readonly client: string
  readonly cost: Cost
}

/** Reports to an owner the permits that a holder has in use. */
export interface PermitRegister {
  readonly type: typeof MessageType.PermitRegister
  /** Whether these are all permits that the holder has from this owner. */
  readonly complete: boolean
  readonly permits: readonly HeldPermit[]
}

/** Load of one target as its owner sees it. */
export interface TargetLoad {
  readonly target: string
  /** Permits for online requests in use. */
  readonly online: number
  /** Permits for batch requests in use. */
  readonly batch: number
  /** Queued permit requests for online work. */
  readonly waiting: number
  /** Number of batch permits that the owner would grant now. */
  readonly batchRoom: number
  /** Milliseconds that a new online request is expected to wait for its permit. */
  readonly expectedWait: number
}

/** Reports the load of an owner's targets to all holders. */
export interface LoadReport {
  readonly type: typeof MessageType.LoadReport
  readonly targets: readonly TargetLoad[]
}
