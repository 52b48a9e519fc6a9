/** Messages between the processes of a gateway fleet; each is sent as one datagram. */
import type { AnswerTiming, ChargesReport, CrashReport, SoundReport, HeldSlot, KnownOrigin, QuarantineEntry, QueueStanding, RateLimitReport, RefusalReason, SlotOutcome, SlotRequest, SlotWait, UsageReport } from '@arbutusloft/policy'
import { isMemberDigest } from './member-digest.js'
import type { MemberDigest } from './member-digest.js'

/** Message types. The values are short because messages are sent several times a second. */
export const PeerMessageType = {
  Ping: 'i',
  PingRequest: 'j',
  Ack: 'k',
  Nack: 'l',
  MemberUpdates: 'u',
  MemberSync: 'y',
  SlotRequest: 'q',
  SlotQueued: 'w',
  SlotGrant: 'a',
  SlotRejection: 'n',
  SlotRevocation: 'v',
  SlotWithdrawal: 'x',
  SlotRelease: 'r',
  SlotReport: 'p',
  Quarantine: 'z',
  TargetLeaving: 'g',
  StreamOrigins: 'o',
  OriginQuery: 'h',
  OriginAnswer: 'm',
  VersionQuery: 'b',
  VersionAnswer: 'd',
  RateLimits: 'f',
  SlotSound: 's',
  AccountCharges: 'c',
  AccountUsage: 'e',
  AccountChargesQuery: 't'
} as const

/** Asks the receiver to show that it is alive. */
export interface PingMessage {
  readonly type: typeof PeerMessageType.Ping
  readonly sequence: number
  /** Hash of the members that the sender knows; see {@link MemberTable.hash}. */
  readonly hash: number
  readonly members: MemberDigest
}

/** Asks the receiver to ping a third member and to pass its response on. */
export interface PingRequestMessage {
  readonly type: typeof PeerMessageType.PingRequest
  readonly sequence: number
  /** Address of the third member. */
  readonly target: string
  readonly members: MemberDigest
}

/** Response to a ping or ping request with the same sequence number. */
export interface AckMessage {
  readonly type: typeof PeerMessageType.Ack
  readonly sequence: number
  /** As in {@link PingMessage}. */
  readonly hash: number
  readonly members: MemberDigest
}

/** Response to a ping request whose target has not responded. */
export interface NackMessage {
  readonly type: typeof PeerMessageType.Nack
  readonly sequence: number
  readonly members: MemberDigest
}

/** Passes on what has changed. */
export interface MemberUpdatesMessage {
  readonly type: typeof PeerMessageType.MemberUpdates
  readonly members: MemberDigest
}

/** Part of all members that the sender knows, for a member that joins or knows others. */
export interface MemberSyncMessage {
  readonly type: typeof PeerMessageType.MemberSync
  /** Whether the receiver should send all members that it knows in return. */
  readonly wantsReply: boolean
  readonly members: MemberDigest
}

/** Requests a slot from the service's owner. Idempotent: a retransmission with the same permit is the same request. */
export interface SlotRequestMessage {
  readonly type: typeof PeerMessageType.SlotRequest
  readonly service: string
  readonly request: Omit<SlotRequest, 'holder' | 'digest' | 'continues'> & Partial<Pick<SlotRequest, 'digest' | 'continues'>>
}

/** Confirms that the owner has queued a request. */
export interface SlotQueuedMessage {
  readonly type: typeof PeerMessageType.SlotQueued
  readonly permit: string
  /** Why it waits; earlier builds leave it out and ignore it. */
  readonly wait?: SlotWait
}

/** Grants a slot on a target. */
export interface SlotGrantMessage {
  readonly type: typeof PeerMessageType.SlotGrant
  readonly service: string
  readonly permit: string
  readonly target: string
  /** `ip:port` of the target. */
  readonly address: string
  /** Start of the target in milliseconds since the epoch. */
  readonly born?: number
  /** Version of the target's software. */
  readonly softwareVersion?: string
  /** Whether targets of several software versions serve, or have lately, according to the owner. */
  readonly isMixed?: boolean
  /**
   * Rate limit of the target that the owner knows, in requests a second; null if it has heard that there is none any more, which earlier builds leave out.
   * Left out if it has heard of none.
   */
  readonly rateLimit?: number | null
}

/** Rejects a request for a slot. */
export interface SlotRejectionMessage {
  readonly type: typeof PeerMessageType.SlotRejection
  readonly permit: string
  readonly reason: RefusalReason
  /** Milliseconds until a slot is expected to be free, or until the quarantine is reviewed. */
  readonly retryAfter: number
  /** Left out where the deployment has no client accounts, and by earlier builds. */
  readonly standing?: QueueStanding
}

/** Revokes a slot; its holder must stop the request and release the slot. */
export interface SlotRevocationMessage {
  readonly type: typeof PeerMessageType.SlotRevocation
  readonly permit: string
}

/** Withdraws a request for a slot that was not granted yet. */
export interface SlotWithdrawalMessage {
  readonly type: typeof PeerMessageType.SlotWithdrawal
  readonly service: string
  readonly permit: string
}

/** Releases a slot and reports how its request ended. */
export interface SlotReleaseMessage {
  readonly type: typeof PeerMessageType.SlotRelease
  readonly service: string
  readonly permit: string
  readonly outcome: SlotOutcome
  /** Marks {@link SlotOutcome.NotRun}, which earlier builds do not know and get as {@link SlotOutcome.Stopped}. */
  readonly isNotRun?: boolean
  /** The request that the target crashed under; left out if it has not crashed. */
  readonly crash?: Omit<CrashReport, 'digest'> & Partial<Pick<CrashReport, 'digest'>>
  /** The request, if it was stopped while its answer went well; left out by earlier builds. */
  readonly sound?: SoundReport
  /** Times of a complete answer; left out if they tell nothing of the target, and by earlier builds, which ignore it. */
  readonly timing?: AnswerTiming
}

/** Tells that a target does not crash under a request, whose answer goes on. Builds before ignore it. */
export interface SlotSoundMessage {
  readonly type: typeof PeerMessageType.SlotSound
  readonly service: string
  readonly sound: SoundReport
}

/** Reports all slots of a service that the sender holds. */
export interface SlotReportMessage {
  readonly type: typeof PeerMessageType.SlotReport
  readonly service: string
  readonly held: readonly HeldSlot[]
}

/** Tells which requests and prompt parts are in quarantine or no longer are, or under which requests targets have crashed. */
export interface QuarantineMessage {
  readonly type: typeof PeerMessageType.Quarantine
  readonly entries: readonly QuarantineEntry[]
}

/** Tells a member that may grant slots on a target that the target leaves. */
export interface TargetLeavingMessage {
  readonly type: typeof PeerMessageType.TargetLeaving
  readonly target: string
  /** As in {@link Target}. */
  readonly born: number
}

/** Tells a member that may grant slots on targets what the heads of their answers said about rate limits, or what was granted within one. */
export interface RateLimitsMessage {
  readonly type: typeof PeerMessageType.RateLimits
  readonly reports: readonly RateLimitReport[]
  /** Permit of a request that the target got or gets; left out if the sender only passes on what it knows. */
  readonly permit?: string
}

/** Copies of the origins of streams. */
export interface StreamOriginsMessage {
  readonly type: typeof PeerMessageType.StreamOrigins
  readonly entries: ReadonlyArray<{
    /** Id of the client's attempt that brought the first event. */
    readonly attempt: string
    readonly origin: KnownOrigin
    /** Milliseconds since the first event. */
    readonly age: number
  }>
}

/** Asks for the origin of an attempt's stream. */
export interface OriginQueryMessage {
  readonly type: typeof PeerMessageType.OriginQuery
  readonly attempt: string
}

/** Response to a query. */
export interface OriginAnswerMessage {
  readonly type: typeof PeerMessageType.OriginAnswer
  readonly attempt: string
  /** Null if the sender does not know it. */
  readonly origin: KnownOrigin | null
}

/** Asks for the software versions that a service's targets have lately had. */
export interface VersionQueryMessage {
  readonly type: typeof PeerMessageType.VersionQuery
  readonly service: string
}

/** Response to a query, as far as the sender knows. */
export interface VersionAnswerMessage {
  readonly type: typeof PeerMessageType.VersionAnswer
  readonly service: string
  readonly versions: readonly string[]
  /** As in {@link VersionHistory.isMixed}. */
  readonly isMixed: boolean
}

/** Tells another owner of slots what the sender has charged to accounts. */
export interface AccountChargesMessage {
  readonly type: typeof PeerMessageType.AccountCharges
  readonly report: ChargesReport
  /** The question that this answers, and the milliseconds for which the clock of who asked has stood still since its last report. */
  readonly answer?: { readonly question: number, readonly lag: number }
}

/** Tells an owner of slots what others have granted the sender. */
export interface AccountUsageMessage {
  readonly type: typeof PeerMessageType.AccountUsage
  readonly report: UsageReport
}

/** Asks another owner of slots for all that it has charged to accounts within the window. */
export interface AccountChargesQueryMessage {
  readonly type: typeof PeerMessageType.AccountChargesQuery
  readonly question: number
  /** As in {@link ChargesReport}. */
  readonly incarnation: number
  /** As in {@link ChargesReport}. */
  readonly at: number
}

/** Messages about members; the first update in each describes its sender. */
export type MemberMessage =
  | PingMessage
  | PingRequestMessage
  | AckMessage
  | NackMessage
  | MemberUpdatesMessage
  | MemberSyncMessage

/** Messages about slots. */
export type SlotMessage =
  | SlotRequestMessage
  | SlotQueuedMessage
  | SlotGrantMessage
  | SlotRejectionMessage
  | SlotRevocationMessage
  | SlotWithdrawalMessage
  | SlotReleaseMessage
  | SlotSoundMessage
  | SlotReportMessage
  | TargetLeavingMessage
  | RateLimitsMessage

/** Messages about the origins of streams. */
export type OriginMessage = StreamOriginsMessage | OriginQueryMessage | OriginAnswerMessage

/** Messages about the software versions of targets. */
export type VersionMessage = VersionQueryMessage | VersionAnswerMessage

/** Messages about the allowances of accounts. */
export type AllowanceMessage = AccountChargesMessage | AccountUsageMessage | AccountChargesQueryMessage

export type PeerMessage = MemberMessage | SlotMessage | QuarantineMessage | OriginMessage | VersionMessage | AllowanceMessage

const types: ReadonlySet<unknown> = new Set(Object.values(PeerMessageType))
const memberTypes: ReadonlySet<unknown> = new Set([
  PeerMessageType.Ping, PeerMessageType.PingRequest, PeerMessageType.Ack, PeerMessageType.Nack, PeerMessageType.MemberUpdates, PeerMessageType.MemberSync
])
const slotTypes: ReadonlySet<unknown> = new Set([
  PeerMessageType.SlotRequest, PeerMessageType.SlotQueued, PeerMessageType.SlotGrant, PeerMessageType.SlotRejection, PeerMessageType.SlotRevocation,
  PeerMessageType.SlotWithdrawal, PeerMessageType.SlotRelease, PeerMessageType.SlotSound, PeerMessageType.SlotReport, PeerMessageType.TargetLeaving, PeerMessageType.RateLimits
])

/** Checks that a decoded datagram has a message type that this version knows; only messages about members have their fields checked as well. */
export function isPeerMessage (value: unknown): value is PeerMessage {
  if (typeof value !== 'object' || value === null || !('type' in value) || !types.has(value.type)) {
    return false
  }
  return !memberTypes.has(value.type) || ('members' in value && isMemberDigest(value.members))
}

/** Whether a message is about slots. */
export function isSlotMessage (message: PeerMessage): message is SlotMessage {
  return slotTypes.has(message.type)
}

/** Whether a message is about members. */
export function isMemberMessage (message: PeerMessage): message is MemberMessage {
  return memberTypes.has(message.type)
}
