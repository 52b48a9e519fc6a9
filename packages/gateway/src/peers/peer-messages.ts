/** Messages between the processes of a gateway fleet, one datagram each. */
import type { HeldSlot, SlotOutcome, SlotRequest } from '@arbutusloft/policy'
import { isMemberDigest } from './member-digest.js'
import type { MemberDigest } from './member-digest.js'

/** Types of messages; short, because each is sent several times a second. */
export const PeerMessageType = {
  Gossip: 'g',
  SlotRequest: 'q',
  SlotQueued: 'w',
  SlotGrant: 'a',
  SlotRefusal: 'n',
  SlotRevocation: 'v',
  SlotWithdrawal: 'x',
  SlotRelease: 'r',
  SlotReport: 'p'
} as const

/** What a process knows of a member: address, availability zone, incarnation, processor capacity, heartbeat count, state. */
export type MemberRow = readonly [
  address: string, zone: string, incarnation: number, capacity: number, heartbeat: number, state: MemberState
]

/** States of a member. */
export const MemberState = {
  Starting: 0,
  Ready: 1,
  Draining: 2
} as const
export type MemberState = typeof MemberState[keyof typeof MemberState]

/** What the sender knows of some members, itself first. */
export interface GossipMessage {
  readonly type: typeof PeerMessageType.Gossip
  readonly members: MemberDigest
}

/** Asks the owner of a service's targets for a slot. Sent again with the same permit, it is the same request. */
export interface SlotRequestMessage {
  readonly type: typeof PeerMessageType.SlotRequest
  readonly service: string
  readonly request: Omit<SlotRequest, 'holder'>
}

/** Says that a request waits. */
export interface SlotQueuedMessage {
  readonly type: typeof PeerMessageType.SlotQueued
  readonly permit: string
}

export interface SlotGrantMessage {
  readonly type: typeof PeerMessageType.SlotGrant
  readonly service: string
  readonly permit: string
  readonly target: string
}

export interface SlotRefusalMessage {
  readonly type: typeof PeerMessageType.SlotRefusal
  readonly permit: string
  /** Milliseconds until a slot is expected to be free. */
  readonly retryAfter: number
}

export interface SlotRevocationMessage {
  readonly type: typeof PeerMessageType.SlotRevocation
  readonly permit: string
}

export interface SlotWithdrawalMessage {
  readonly type: typeof PeerMessageType.SlotWithdrawal
  readonly service: string
  readonly permit: string
}

export interface SlotReleaseMessage {
  readonly type: typeof PeerMessageType.SlotRelease
  readonly service: string
  readonly permit: string
  readonly outcome: SlotOutcome
}

/** All slots that the sender holds. */
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
  | SlotRefusalMessage
  | SlotRevocationMessage
  | SlotWithdrawalMessage
  | SlotReleaseMessage
  | SlotReportMessage

const types: ReadonlySet<unknown> = new Set(Object.values(PeerMessageType))

/** Whether a decoded datagram is a message of this version. */
export function isPeerMessage (value: unknown): value is PeerMessage {
  if (typeof value !== 'object' || value === null || !('type' in value) || !types.has(value.type)) {
    return false
  }
  return value.type !== PeerMessageType.Gossip || ('members' in value && isMemberDigest(value.members))
}
