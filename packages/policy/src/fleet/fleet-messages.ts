/** Requests to and decisions of {@link FleetAdmission}. Their fields are sent between processes under these names. */
import type { WorkClass } from '@arbutusloft/protocol'
import { DecisionKind } from '../admission/decision.js'
import type { QueueStanding } from './queue-standing.js'

/** A target as admission control sees it. */
export interface FleetTarget {
  readonly id: string
  /** `ip:port`. */
  readonly address: string
  readonly zone: string
  /** Number of requests that the target runs concurrently. */
  readonly slots: number
  /** Start of the target in milliseconds since the epoch, which a later target with its id does not share; 0 if it is unknown. */
  readonly born: number
  /** Version of its software. */
  readonly softwareVersion: string
  /** Whether the target is about to go for good. */
  readonly leaving: boolean
  /** Whether the target takes new work: false if it leaves, or while the list of targets is out of date. */
  readonly accepting: boolean
}

/** What is known of the target that began a stream. Only targets of the same software version can go on with the stream. */
export interface StreamOrigin {
  /** Empty if it is unknown. */
  readonly softwareVersion: string
  /** Id of the target; empty if it is unknown. */
  readonly target: string
  /** As in {@link FleetTarget}. */
  readonly born: number
}

/** Who sends a request, where the deployment has client accounts. */
export interface SlotCaller {
  /** Name of the account; empty for a request without a key on a public route. */
  readonly account: string
  /** Rank of the account or, if it has none, of the route; 0 is the highest. */
  readonly rank: number
  /** Tokens that the request may take, of the prompt and the output; 1 if unknown. */
  readonly tokens: number
  /** Whether the account's allowance already counts the request, or never does: second attempts, repetitions and batch items. */
  readonly isCounted: boolean
}

/** Request for a slot on any target of the service. */
export interface SlotRequest {
  /** Identifier of the permit, chosen by its holder; the same in a repeated request. */
  readonly permit: string
  /** Name of the process that sends the request and will hold the slot. */
  readonly holder: string
  readonly workClass: WorkClass
  /** Availability zone of the holder. */
  readonly zone: string
  /**
   * Identifiers of the prompt prefixes that the request shares with others, the most specific last; for prefix-cache
   * affinity and {@link CrashQuarantine}.
   */
  readonly prefix: readonly string[]
  /** Digest that the same request has each time it comes, for {@link CrashQuarantine}; empty if it is unknown. */
  readonly digest: string
  /** Targets that must not be chosen, because the request failed there. */
  readonly excluded: readonly string[]
  /** Origin of the stream that the request continues, or null if it begins one or has none. */
  readonly continues: StreamOrigin | null
  /**
   * Online: milliseconds of waiting after which the answer would be late. A request whose expected wait is longer is
   * rejected at once.
   */
  readonly patience: number
  /**
   * Online: milliseconds that the caller has spent on earlier attempts, as far as its deadline shows; callers that come back after a
   * rejection are served before newcomers.
   */
  readonly spent: number
  /** Online: longest time, in milliseconds, after which the caller can still come back if it is rejected. */
  readonly latestReturn: number
  /** Batch: deadline of the item, in milliseconds since the epoch; 0 for online requests. */
  readonly due: number
  /** Batch: milliseconds for which the item has run so far, in all its attempts; 0 for online requests. */
  readonly ran: number
  /** Batch: milliseconds since the item got its first slot; 0 before, and for online requests. */
  readonly sinceStart: number
  /** Left out where the deployment has no client accounts. */
  readonly caller?: SlotCaller
}

/** A slot that a holder reports as its own. */
export interface HeldSlot {
  readonly permit: string
  readonly target: string
  readonly workClass: WorkClass
  /** As in {@link SlotRequest}. */
  readonly due: number
  /** As in {@link SlotRequest}, at the time of the request. */
  readonly ran: number
  /** As in {@link SlotCaller}; left out where the deployment has no client accounts, and by earlier builds. */
  readonly account?: string
  /** As in {@link SlotCaller}; left out if `account` is. */
  readonly tokens?: number
}

/** Returns what a holder reports of the client account of a slot that it holds. */
export function heldAccountOf ({ caller }: Pick<SlotRequest, 'caller'>): Pick<HeldSlot, 'account' | 'tokens'> {
  return caller === undefined ? {} : { account: caller.account, tokens: caller.tokens }
}

/** Grants the slot: the holder may send its request to the target. */
export interface SlotGrant {
  readonly kind: typeof DecisionKind.Grant
  readonly permit: string
  readonly holder: string
  readonly target: string
  /** `ip:port` of the target; the holder need not know the target otherwise. */
  readonly address: string
}

/** Revokes a slot: the holder must stop the request and release the slot. */
export interface SlotRevocation {
  readonly kind: typeof DecisionKind.Revoke
  readonly permit: string
  readonly holder: string
}

/** Why a request for a slot is rejected. */
export const RefusalReason = {
  /** It cannot start in time. */
  Busy: 'busy',
  /** Targets may crash under it, or under a part of its prompt; see {@link CrashQuarantine}. */
  Quarantined: 'quarantined',
  /** No target of the software version that began its stream is left. */
  VersionGone: 'version-gone',
  /** It continues a stream, and it is not certain which software version began it. */
  VersionUnknown: 'version-unknown',
  /** Its account has used its allowance. */
  OverAllowance: 'over-allowance'
} as const
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason]

/** Rejects a request. */
export interface SlotRefusal {
  readonly kind: typeof DecisionKind.Refuse
  readonly permit: string
  readonly holder: string
  readonly reason: RefusalReason
  /** Milliseconds until a slot is expected to be free, or until the quarantine is reviewed. */
  readonly retryAfter: number
  /** Place of a request that cannot start in time; left out where it has no client account. */
  readonly standing?: QueueStanding
}

/** Returns the rejection of a request. */
export function refusalOf ({ permit, holder }: Pick<SlotRequest, 'permit' | 'holder'>, reason: RefusalReason, retryAfter: number): SlotRefusal {
  return { kind: DecisionKind.Refuse, permit, holder, reason, retryAfter: Math.max(1, retryAfter) }
}

export type SlotDecision = SlotGrant | SlotRevocation | SlotRefusal

/** Outcome of a request, as its holder reports it to the owner when it releases the slot. */
export const SlotOutcome = {
  /** The answer is complete and a success. */
  Finished: 'finished',
  /** The answer is complete, but neither a success nor {@link SlotOutcome.Failed}. */
  Unsuccessful: 'unsuccessful',
  /** Its receiver stopped the answer: the client left, its deadline passed, or the slot was revoked. */
  Stopped: 'stopped',
  /** The slot was given back unused, or no way led to its target, which says nothing of the target: the request has certainly not run. */
  NotRun: 'not-run',
  /** The target could not be reached, or was unresponsive. */
  Unreachable: 'unreachable',
  /** Another target responded at the target's address. */
  Replaced: 'replaced',
  /** The target's answer was interrupted, or could not be parsed. */
  Broken: 'broken',
  /** The target closed the connection when it was about to answer or had just begun, as it does if it crashes under the request. */
  Crashed: 'crashed',
  /** The target ran the request and answered that it failed. */
  Failed: 'failed',
  /** The target rejected the request because it was full. */
  Full: 'full'
} as const
export type SlotOutcome = typeof SlotOutcome[keyof typeof SlotOutcome]
