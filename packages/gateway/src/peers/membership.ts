/**
 * Membership and failure detection of the gateway fleet by gossip. Each process increments a heartbeat count and
 * periodically sends what it knows of all members to a few others; a member whose heartbeat count has not grown for
 * too long counts as failed.
 */
import type { Logger } from '../util/logger.js'
import { packMembers, unpackMembers } from './member-digest.js'
import { MemberState, PeerMessageType } from './peer-messages.js'
import type { MemberRow, PeerMessage } from './peer-messages.js'
import type { PeerTransport } from './peer-socket.js'

/** A process of the fleet. */
export interface Member {
  /** IPv4 address; all processes use the same ports. */
  readonly address: string
  readonly zone: string
  /** Tells apart successive processes at the same address; a later process has a greater value. */
  readonly incarnation: number
  /** Processor capacity in thousandths of a core. */
  readonly capacity: number
  readonly state: MemberState
}

/** Options of {@link Membership}. */
export interface MembershipOptions {
  readonly zone: string
  readonly incarnation: number
  /** Processor capacity in thousandths of a core. */
  readonly capacity: number
  /** Addresses at which other processes may be running; some may be out of date. */
  readonly seeds: readonly string[]
}

interface KnownMember extends Member {
  readonly heartbeat: number
  /** Time at which the heartbeat count was last seen to grow, in milliseconds since the epoch. */
  readonly lastHeartbeatAt: number
}

/** Interval between gossip rounds. */
const gossipIntervalMilliseconds = 300
/** Members that a process gossips to in each round; one of them is in its own availability zone, where traffic is free. */
const gossipFanout = 2
/** Rows in one datagram. A row takes up to 18 bytes, so that the datagram stays below the 1,472 bytes that one packet carries. */
const maximumRowsPerDatagram = 78
/** Lower bound of the failure timeout, in gossip rounds; it applies to small fleets. */
const minimumFailureTimeoutRounds = 5
/**
 * Failure timeout as a multiple of the gossip rounds in which an update reaches the average member. In the simulations of
 * membership.test.ts, a factor of 3 detected a live member of a fleet of 18 as failed; this one detects none.
 */
const failureTimeoutSpreadFactor = 3.5
/** Time without a new heartbeat after which a member is removed. */
const memberExpiryMilliseconds = 15_000
/** Minimum capacity of an owner candidate, as a share of the greatest capacity among ready members. */
const minimumOwnerCapacityShare = 0.9
/** Heartbeats added to the count that a suspected member can have reached before the suspicion; gossip of others must reach the sum to clear it. */
const suspicionMarginHeartbeats = 3
/** Seed addresses contacted in a round while fewer than {@link gossipFanout} live members are known. */
const maximumSeedsPerRound = 12
/** Share of the rounds in which a seed address is contacted as well, so that the parts of a partitioned fleet find each other again. */
const seedRoundShare = 0.2

/** Gossips with other processes and keeps track of the live members. */
export class Membership {
  readonly #members = new Map<string, KnownMember>()
  /** Suspected members by address, each with the heartbeat count that clears the suspicion. */
  readonly #suspects = new Map<string, number>()
  readonly #timer: NodeJS.Timeout
  readonly #listeners: Array<() => void> = []
  readonly #seeds = new Set<string>()
  #state: MemberState = MemberState.Starting
  #heartbeat = 0
  /** Ready members at the last notification, to detect changes. */
  #fingerprint = ''

  constructor (
    private readonly transport: PeerTransport,
    private readonly options: MembershipOptions,
    private readonly logger: Logger
  ) {
    this.addSeeds(options.seeds)
    transport.onMessage((message, sender) => { this.#onMessage(message, sender) })
    this.#timer = setInterval(() => { this.#runGossipRound() }, gossipIntervalMilliseconds)
  }

  /** Adds addresses at which other processes may be running and gossips to new ones immediately. */
  addSeeds (addresses: Iterable<string>): void {
    for (const address of addresses) {
      if (address !== this.transport.address && !this.#seeds.has(address)) {
        this.#seeds.add(address)
        this.#gossipTo(address)
      }
    }
  }

  /** State of this process. */
  get state (): MemberState {
    return this.#state
  }

  /** Sets the state of this process and announces it to all live members immediately. */
  setState (state: MemberState): void {
    if (this.#state === state) {
      return
    }
    this.#state = state
    this.#heartbeat += 1
    // Sends only its own row: full digests to all members at once would cause a burst of traffic.
    for (const member of this.#livePeers()) {
      this.#send(member.address, [this.#ownRow()])
    }
    this.#notifyIfChanged()
  }

  /** Calls the listener when the set of ready members has changed. */
  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** This process. */
  get self (): Member {
    const { zone, incarnation, capacity } = this.options
    return { address: this.transport.address, zone, incarnation, capacity, state: this.#state }
  }

  /** Returns the members that the failure detector considers alive, this process first. */
  live (): readonly Member[] {
    return [this.self, ...this.#livePeers()]
  }

  /** Returns the live members that are ready and not suspected. */
  ready (): readonly Member[] {
    return this.live().filter(member => member.state === MemberState.Ready && !this.#suspects.has(member.address))
  }

  /**
   * Returns the ready members that may own services: those whose capacity is close to the greatest, because all
   * requests of the fleet wait for the owners' decisions.
   */
  ownerCandidates (): readonly Member[] {
    const ready = this.ready()
    const greatestCapacity = Math.max(...ready.map(member => member.capacity))
    return ready.filter(member => member.capacity >= greatestCapacity * minimumOwnerCapacityShare)
  }

  /** Returns the other live members, those in this process's availability zone first, in random order otherwise. */
  peersByDistance (): readonly Member[] {
    const others = this.#livePeers()
    const nearby = others.filter(member => member.zone === this.options.zone)
    const distant = others.filter(member => member.zone !== this.options.zone)
    return [...sample(nearby, nearby.length), ...sample(distant, distant.length)]
  }

  /**
   * Marks a member that did not respond as suspected, which excludes it from {@link ready}. A message from the member
   * itself clears the suspicion. Gossip of others may be older than the suspicion; it clears it only with a heartbeat
   * count that the member cannot have reached before it was suspected.
   */
  suspect (address: string): void {
    const known = this.#members.get(address)
    if (known !== undefined && !this.#suspects.has(address)) {
      this.logger.info('member suspected', { peer: address, silence: Date.now() - known.lastHeartbeatAt })
      this.#suspects.set(address, known.heartbeat + roundsWithin(Date.now() - known.lastHeartbeatAt) + suspicionMarginHeartbeats)
      this.#notifyIfChanged()
    }
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #livePeers (): readonly KnownMember[] {
    const now = Date.now()
    // Counts all known members, not the live ones: a lower live count would shorten the timeout, and so lower the live count further.
    const timeout = failureTimeoutMilliseconds(this.#members.size + 1)
    return [...this.#members.values()].filter(member => now - member.lastHeartbeatAt < timeout)
  }

  #runGossipRound (): void {
    this.#heartbeat += 1
    this.#removeExpired()
    const others = this.#livePeers()
    const live = others.map(member => member.address)
    for (const address of this.#chooseGossipPeers(others)) {
      this.#gossipTo(address)
    }
    if (live.length < gossipFanout || Math.random() < seedRoundShare) {
      const inactiveSeeds = [...this.#seeds].filter(address => !live.includes(address))
      for (const address of sample(inactiveSeeds, live.length < gossipFanout ? maximumSeedsPerRound : 1)) {
        this.#gossipTo(address)
      }
    }
    this.#notifyIfChanged()
  }

  /** Chooses the members to gossip to: one of the same availability zone and one of any. */
  #chooseGossipPeers (others: readonly KnownMember[]): readonly string[] {
    const nearby = sample(others.filter(member => member.zone === this.options.zone), gossipFanout - 1)
    const rest = others.filter(member => !nearby.includes(member))
    return [...nearby, ...sample(rest, gossipFanout - nearby.length)].map(member => member.address)
  }

  #gossipTo (address: string): void {
    this.#send(address, this.#rows())
  }

  #send (address: string, rows: readonly MemberRow[]): void {
    this.transport.send(address, { type: PeerMessageType.Gossip, members: packMembers(rows) })
  }

  #ownRow (): MemberRow {
    const { zone, incarnation, capacity } = this.options
    return [this.transport.address, zone, incarnation, capacity, this.#heartbeat, this.#state]
  }

  #rows (): readonly MemberRow[] {
    const rows: MemberRow[] = sample(this.#livePeers(), maximumRowsPerDatagram - 1).map(member => {
      return [member.address, member.zone, member.incarnation, member.capacity, member.heartbeat, member.state]
    })
    return [this.#ownRow(), ...rows]
  }

  #onMessage (message: PeerMessage, sender: string): void {
    if (message.type !== PeerMessageType.Gossip) {
      return
    }
    const isNewMember = !this.#members.has(sender)
    this.#suspects.delete(sender)
    for (const row of unpackMembers(message.members)) {
      this.#mergeRow(row)
    }
    if (isNewMember) {
      this.#gossipTo(sender)
    }
    this.#notifyIfChanged()
  }

  #mergeRow ([address, zone, incarnation, capacity, heartbeat, state]: MemberRow): void {
    if (address === this.transport.address) {
      return
    }
    const known = this.#members.get(address)
    const isNewer = known === undefined || incarnation > known.incarnation ||
      (incarnation === known.incarnation && heartbeat > known.heartbeat)
    if (!isNewer) {
      return
    }
    this.#members.set(address, { address, zone, incarnation, capacity, heartbeat, state, lastHeartbeatAt: Date.now() })
    if (heartbeat >= (this.#suspects.get(address) ?? Infinity) || incarnation !== known?.incarnation) {
      this.#suspects.delete(address)
    }
  }

  #removeExpired (): void {
    const now = Date.now()
    for (const [address, member] of this.#members) {
      if (now - member.lastHeartbeatAt > memberExpiryMilliseconds) {
        this.#members.delete(address)
        this.#suspects.delete(address)
      }
    }
  }

  #notifyIfChanged (): void {
    const fingerprint = this.ready().map(member => `${member.address}/${member.incarnation}`).sort().join()
    if (fingerprint === this.#fingerprint) {
      return
    }
    this.#fingerprint = fingerprint
    this.logger.info('members changed', { ready: this.ready().length, live: this.live().length })
    for (const listener of this.#listeners) {
      listener()
    }
  }
}

function roundsWithin (milliseconds: number): number {
  return Math.ceil(milliseconds / gossipIntervalMilliseconds)
}

/** Returns the failure timeout in milliseconds for a fleet of this size; heartbeats take longer to spread in a larger fleet. */
function failureTimeoutMilliseconds (members: number): number {
  const effectiveFanout = gossipFanout * Math.min(1, maximumRowsPerDatagram / members)
  const spreadRounds = Math.log(members) / Math.log(1 + effectiveFanout)
  return gossipIntervalMilliseconds * Math.max(minimumFailureTimeoutRounds, failureTimeoutSpreadFactor * spreadRounds)
}

/** Returns up to `count` of the values, chosen at random. */
function sample<T> (values: readonly T[], count: number): readonly T[] {
  const rest = [...values]
  const picked: T[] = []
  while (picked.length < count && rest.length > 0) {
    picked.push(...rest.splice(Math.floor(Math.random() * rest.length), 1))
  }
  return picked
}
