/** Which processes of the fleet are alive, learnt by gossip. */
import type { Logger } from '../util/logger.js'
import { packMembers, unpackMembers } from './member-digest.js'
import { MemberState, PeerMessageType } from './peer-messages.js'
import type { MemberRow, PeerMessage } from './peer-messages.js'
import type { PeerTransport } from './peer-socket.js'

/** A process of the fleet. */
export interface Member {
  /** IP number; all processes use the same ports. */
  readonly address: string
  readonly zone: string
  /** Distinguishes starts of a process at the same address; later ones are greater. */
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
  /** Addresses at which other processes may be found; some may be stale. */
  readonly seeds: readonly string[]
}

interface KnownMember extends Member {
  readonly heartbeat: number
  /** Time at which a greater heartbeat was last seen. */
  readonly heardAt: number
}

/** Milliseconds between rounds of gossip. */
const gossipMilliseconds = 300
/** Members told in each round, one of them in the sender's availability zone, where traffic is free. */
const gossipFanout = 2
/** Rows in a datagram; a row takes up to 18 bytes, so that it stays below the 1,472 that a packet carries. */
const greatestRows = 78
/** Rounds of silence after which a member of a small fleet counts as dead. */
const leastLivenessRounds = 5
/**
 * Times the rounds in which news reaches the mean member. With three, one of 18 members was once
 * taken for dead in the simulations of membership.test.ts; with this, none.
 */
const livenessSpread = 3.5
/** Silence after which a member is forgotten, in milliseconds. */
const forgetMilliseconds = 15_000
/** Part of the greatest capacity from which members count as equally strong. */
const similarShare = 0.9
/** Rounds beyond those passed by which a heartbeat must have grown to clear a suspicion. */
const suspicionRounds = 3
/** Seeds told in a round while hardly anybody is known. */
const greatestSeeds = 12
/** Part of the rounds that also tell a seed, so that divided fleets find each other again. */
const seedShare = 0.2

/** Gossips heartbeats and answers who is alive. */
export class Membership {
  readonly #members = new Map<string, KnownMember>()
  /** Heartbeat counts that prove that a suspected member lives. */
  readonly #suspects = new Map<string, number>()
  readonly #timer: NodeJS.Timeout
  readonly #listeners: Array<() => void> = []
  readonly #seeds = new Set<string>()
  #state: MemberState = MemberState.Starting
  #heartbeat = 0
  #fingerprint = ''

  constructor (
    private readonly transport: PeerTransport,
    private readonly options: MembershipOptions,
    private readonly logger: Logger
  ) {
    this.addSeeds(options.seeds)
    transport.onMessage((message, sender) => { this.#onMessage(message, sender) })
    this.#timer = setInterval(() => { this.#round() }, gossipMilliseconds)
  }

  /** Further addresses at which processes may be found; new ones are told at once. */
  addSeeds (addresses: Iterable<string>): void {
    for (const address of addresses) {
      if (address !== this.transport.address && !this.#seeds.has(address)) {
        this.#seeds.add(address)
        this.#tell(address)
      }
    }
  }

  get state (): MemberState {
    return this.#state
  }

  /** Changes the state of this process, and tells everybody at once. */
  setState (state: MemberState): void {
    if (this.#state === state) {
      return
    }
    this.#state = state
    this.#heartbeat += 1
    // Nothing but the change: to tell everybody of everybody would be a burst of datagrams.
    for (const member of this.#others()) {
      this.#send(member.address, [this.#ownRow()])
    }
    this.#notifyIfChanged()
  }

  /** Calls the listener when the set of live members has changed. */
  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** This process. */
  get self (): Member {
    const { zone, incarnation, capacity } = this.options
    return { address: this.transport.address, zone, incarnation, capacity, state: this.#state }
  }

  /** Members heard of lately, this process first. */
  live (): readonly Member[] {
    return [this.self, ...this.#others()]
  }

  /** Live members that are ready and not suspected. */
  ready (): readonly Member[] {
    return this.live().filter(member => member.state === MemberState.Ready && !this.#suspects.has(member.address))
  }

  /**
   * Ready members that can carry a duty for all: those with about the greatest capacity, since
   * every request of the fleet waits for them.
   */
  strongest (): readonly Member[] {
    const ready = this.ready()
    const greatest = Math.max(...ready.map(member => member.capacity))
    return ready.filter(member => member.capacity >= greatest * similarShare)
  }

  /** Other live members, those of this process's availability zone first, otherwise in random order. */
  peersByDistance (): readonly Member[] {
    const others = this.#others()
    const nearby = others.filter(member => member.zone === this.options.zone)
    const distant = others.filter(member => member.zone !== this.options.zone)
    return [...pick(nearby, nearby.length), ...pick(distant, distant.length)]
  }

  /**
   * A member did not answer; it takes no duty until it speaks itself. What others tell of it may
   * be older than the suspicion, and counts only once it is beyond what a dead member can have sent.
   */
  suspect (address: string): void {
    const known = this.#members.get(address)
    if (known !== undefined && !this.#suspects.has(address)) {
      this.logger.info('member suspected', { peer: address, silence: Date.now() - known.heardAt })
      this.#suspects.set(address, known.heartbeat + roundsWithin(Date.now() - known.heardAt) + suspicionRounds)
      this.#notifyIfChanged()
    }
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #others (): readonly KnownMember[] {
    const now = Date.now()
    // Counted over all that were heard of lately: a smaller count would shorten the limit, and so the count.
    const limit = livenessMilliseconds(this.#members.size + 1)
    return [...this.#members.values()].filter(member => now - member.heardAt < limit)
  }

  #round (): void {
    this.#heartbeat += 1
    this.#forget()
    const others = this.#others()
    const live = others.map(member => member.address)
    for (const address of this.#partners(others)) {
      this.#tell(address)
    }
    if (live.length < gossipFanout || Math.random() < seedShare) {
      const unheard = [...this.#seeds].filter(address => !live.includes(address))
      for (const address of pick(unheard, live.length < gossipFanout ? greatestSeeds : 1)) {
        this.#tell(address)
      }
    }
    this.#notifyIfChanged()
  }

  /** A member of the own availability zone and one of any. */
  #partners (others: readonly KnownMember[]): readonly string[] {
    const nearby = pick(others.filter(member => member.zone === this.options.zone), gossipFanout - 1)
    const rest = others.filter(member => !nearby.includes(member))
    return [...nearby, ...pick(rest, gossipFanout - nearby.length)].map(member => member.address)
  }

  #tell (address: string): void {
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
    const rows: MemberRow[] = pick(this.#others(), greatestRows - 1).map(member => {
      return [member.address, member.zone, member.incarnation, member.capacity, member.heartbeat, member.state]
    })
    return [this.#ownRow(), ...rows]
  }

  #onMessage (message: PeerMessage, sender: string): void {
    if (message.type !== PeerMessageType.Gossip) {
      return
    }
    const isNews = !this.#members.has(sender)
    this.#suspects.delete(sender)
    for (const row of unpackMembers(message.members)) {
      this.#learn(row)
    }
    if (isNews) {
      this.#tell(sender)
    }
    this.#notifyIfChanged()
  }

  #learn ([address, zone, incarnation, capacity, heartbeat, state]: MemberRow): void {
    if (address === this.transport.address) {
      return
    }
    const known = this.#members.get(address)
    const isNewer = known === undefined || incarnation > known.incarnation ||
      (incarnation === known.incarnation && heartbeat > known.heartbeat)
    if (!isNewer) {
      return
    }
    this.#members.set(address, { address, zone, incarnation, capacity, heartbeat, state, heardAt: Date.now() })
    if (heartbeat >= (this.#suspects.get(address) ?? Infinity) || incarnation !== known?.incarnation) {
      this.#suspects.delete(address)
    }
  }

  #forget (): void {
    const now = Date.now()
    for (const [address, member] of this.#members) {
      if (now - member.heardAt > forgetMilliseconds) {
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
  return Math.ceil(milliseconds / gossipMilliseconds)
}

/** Silence after which a member counts as dead, in milliseconds: heartbeats take longer to spread in a larger fleet. */
function livenessMilliseconds (members: number): number {
  const told = gossipFanout * Math.min(1, greatestRows / members)
  const spreadRounds = Math.log(members) / Math.log(1 + told)
  return gossipMilliseconds * Math.max(leastLivenessRounds, livenessSpread * spreadRounds)
}

/** Up to `count` of the values, chosen at random. */
function pick<T> (values: readonly T[], count: number): readonly T[] {
  const rest = [...values]
  const picked: T[] = []
  while (picked.length < count && rest.length > 0) {
    picked.push(...rest.splice(Math.floor(Math.random() * rest.length), 1))
  }
  return picked
}
