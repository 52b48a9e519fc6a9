/** Messages between the processes of a gateway fleet; each is sent as one datagram. */
import type { HeldSlot, SlotOutcome, SlotRequest } from '@arbutusloft/policy'
import { isMemberDigest } from './member-digest.js'
import type { MemberDigest } from './member-digest.js'

/** Message types. The values are short because messages are sent several times a second. */
export const PeerMessageType = {
  Gossip: 'g',
  SlotRequest: 'q',
  SlotQueued: 'w',
  SlotGrant: 'a',
  SlotRejection: 'n',
  SlotRevocation: 'v',
  SlotWithdrawal: 'x',
  SlotRelease: 'r',
  SlotReport: 'p'
} as const

/** What a process knows of a member; see {@link MemberDigest} for the encoding. `capacity` is in thousandths of a core. */
export type MemberRow = readonly [
  address: string, zone: string, incarnation: number, capacity: number, heartbeat: number, state: MemberState
]

/** States of a member. Only ready members may own services and run batch jobs. */
export const MemberState = {
  Starting: 0,
  Ready: 1,
  Draining: 2
} as const
export type MemberState = typeof MemberState[keyof typeof MemberState]

/** Carries the sender's knowledge of some members; the first row describes the sender itself. */
export interface GossipMessage {
  readonly type: typeof PeerMessageType.Gossip
  readonly members: MemberDigest
}

/** Requests a slot from the service's owner. Idempotent: a retransmission with the same permit is the same request. */
export interface SlotRequestMessage {
  readonly type: typeof PeerMessageType.SlotRequest
  readonly service: string
  readonly request: Omit<SlotRequest, 'holder'>
}

/** Confirms that the owner has queued a request. */
export interface SlotQueuedMessage {
  readonly type: typeof PeerMessageType.SlotQueued
  readonly permit: string
}

/** Grants a slot on a target. */
export interface SlotGrantMessage {
  readonly type: typeof PeerMessageType.SlotGrant
  readonly service: string
  readonly permit: string
  readonly target: string
}

/** Rejects a request for a slot. */
export interface SlotRejectionMessage {
  readonly type: typeof PeerMessageType.SlotRejection
  readonly permit: string
  /** Milliseconds until a slot is expected to be free. */
  readonly retryAfter: number
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
}

/** Reports all slots of a service that the sender holds. */
export interface SlotReportMessage {
  readonly type: typeof PeerMessageType.SlotReport
  readonly service: string
  readonly held: readonly HeldSlot[]
}

export type PeerMessage =
  | GossipMessage
  | SlotRequestMessage
  | SlotQueuedMessage
  | SlotGrantMessage
  | SlotRejectionMessage
  | SlotRevocationMessage
  | SlotWithdrawalMessage
  | SlotReleaseMessage
  | SlotReportMessage

const types: ReadonlySet<unknown> = new Set(Object.values(PeerMessageType))

/** Checks that a decoded datagram has a message type that this version knows; only gossip has its fields checked as well. */
export function isPeerMessage (value: unknown): value is PeerMessage {
  if (typeof value !== 'object' || value === null || !('type' in value) || !types.has(value.type)) {
    return false
  }
  return value.type !== PeerMessageType.Gossip || ('members' in value && isMemberDigest(value.members))
}
