/**
 * Membership of the gateway fleet. Each process probes one other at a time and passes on what changes, so that the cost
 * of a process and the delay until a failure is noticed hardly grow with the fleet. The design is in docs/design/membership.md.
 */
import type { Logger } from '../util/logger.js'
import { sample, shuffle } from '../util/sample.js'
import { FailureDetector } from './failure-detector.js'
import { LocalHealth } from './local-health.js'
import { maximumUpdatesPerDatagram, packMembers, unpackMembers } from './member-digest.js'
import { hashOf, MemberTable } from './member-table.js'
import { isReadyState, MemberState, supersedes } from './member.js'
import type { Member, MemberUpdate } from './member.js'
import { isMemberMessage, PeerMessageType } from './peer-messages.js'
import type { MemberMessage } from './peer-messages.js'
import type { PeerTransport } from './peer-socket.js'
import { UpdateBuffer } from './update-buffer.js'

/** Options of {@link Membership}. */
export interface MembershipOptions {
  readonly zone: string
  readonly incarnation: number
  /** Processor capacity in thousandths of a core. */
  readonly capacity: number
  /** Addresses at which other processes may be running; some may be out of date. */
  readonly seeds: readonly string[]
}

/** Interval at which a process probes another one. A failed member is probed by some other within 1.5 s with a probability of 99%. */
const probeIntervalMilliseconds = 300
/** Members that are probed at once after one was found unresponsive, since failures often come together. */
const acceleratedProbes = 2
/** Maximum number of probes that wait for a response. */
const maximumPendingProbes = 16
/** Time for which a suspected member can refute the suspicion before it counts as failed; its duties end with the suspicion. */
const suspicionTimeoutMilliseconds = 1_500
/** Delay before updates are passed on, so that updates which arrive together are sent together. */
const updateDelayMilliseconds = 20
/** Members that a new update is sent to; the rest hear of it from these, and the last few by probes. */
const updateFanout = 4
/** Updates that are sent along with a probe or its response. */
const maximumPiggybackedUpdates = 24
/** Consecutive probes of members who know other members after which all members are exchanged. */
const mismatchesBeforeSync = 2
/** Minimum interval between such exchanges. */
const syncIntervalMilliseconds = 500
/** Seed addresses that are contacted in a round while no other member is known. */
const maximumSeedsPerRound = 3
/** Share of rounds in which a failed member or a seed address is contacted as well, so that the parts of a partitioned fleet find each other again. */
const reconnectShare = 0.2
/** Time after which a helper that got no response to a relayed ping tells the member that asked for it. */
const helperTimeoutMilliseconds = 100
/** Time without any message after which a process cannot tell whether others have failed or itself is cut off. */
const isolationMilliseconds = 1_000
/** Minimum capacity of an owner candidate, as a share of the greatest capacity among ready members. */
const minimumOwnerCapacityShare = 0.9

/** Lists that are derived from the members; they are computed when first needed after a change. */
interface DerivedMembers {
  readonly live: readonly Member[]
  readonly ready: readonly Member[]
  readonly ownerCandidates: readonly Member[]
}

/** Probes other processes and keeps track of the members that are alive. */
export class Membership {
  readonly #table = new MemberTable()
  readonly #updates = new UpdateBuffer()
  readonly #health = new LocalHealth()
  readonly #detector: FailureDetector
  /** Members that did not respond to this process in another matter; a message of theirs ends it. */
  readonly #locallySuspected = new Set<string>()
  readonly #seeds = new Set<string>()
  readonly #listeners: Array<() => void> = []
  readonly #timer: NodeJS.Timeout
  /** Pings that this process sends for others: the member to respond to and its sequence number, by own sequence number. */
  readonly #relayedPings = new Map<number, { readonly origin: string, readonly sequence: number, readonly timer: NodeJS.Timeout }>()
  #relaySequence = 0
  #updateTimer: NodeJS.Timeout | null = null
  #probeOrder: string[] = []
  #derived: DerivedMembers | null = null
  #self: MemberUpdate
  #lastMessageAt = Date.now()
  #mismatches = 0
  #lastSyncAt = 0
  /** Whether this process is cut off from targets. */
  #isDetached = false
  /** Whether the set of ready members has changed since the listeners were last called. */
  #readyChanged = false

  constructor (
    private readonly transport: PeerTransport,
    options: MembershipOptions,
    private readonly logger: Logger
  ) {
    const { zone, incarnation, capacity } = options
    this.#self = { address: transport.address, zone, incarnation, capacity, state: MemberState.Starting, version: 0, suspected: false }
    this.#detector = new FailureDetector({
      health: this.#health,
      sendPing: (address, sequence) => { this.#sendPing(address, sequence) },
      sendPingRequest: (helper, sequence, target) => { this.transport.send(helper, { type: PeerMessageType.PingRequest, sequence, target, members: this.#digest([]) }) },
      chooseHelpers: (target, count) => this.#chooseHelpers(target, count),
      onOverdue: () => { this.#probeNext(acceleratedProbes) },
      onUnresponsive: (address, probedAt) => { this.#onUnresponsive(address, probedAt) }
    })
    this.addSeeds(options.seeds)
    transport.onMessage((message, sender) => {
      if (isMemberMessage(message)) {
        this.#onMessage(message, sender)
      }
    })
    this.#timer = setInterval(() => { this.#runRound() }, probeIntervalMilliseconds)
  }

  /** Adds addresses at which other processes may be running, and contacts them at once if no other member is known. */
  addSeeds (addresses: Iterable<string>): void {
    const added = [...addresses].filter(address => address !== this.transport.address && !this.#seeds.has(address))
    for (const address of added) {
      this.#seeds.add(address)
    }
    if (this.#table.alive().length === 0) {
      this.#join(added)
    }
  }

  /** State of this process. */
  get state (): MemberState {
    return this.#self.state
  }

  /** Sets the state of this process and tells the other members. {@link setDetached} decides whether a ready process is detached. */
  setState (state: Exclude<MemberState, typeof MemberState.Detached>): void {
    const wasReady = isReadyState(this.#self.state)
    const next = state === MemberState.Ready && this.#isDetached ? MemberState.Detached : state
    if (this.#self.state === next) {
      return
    }
    this.#updateSelf({ state: next })
    if (!wasReady || !isReadyState(next)) {
      this.#readyChanged = true
      this.#notifyIfChanged()
    }
  }

  /** Sets whether this process is cut off from targets, and tells the other members once it is ready. It stays ready in all other ways. */
  setDetached (isDetached: boolean): void {
    if (this.#isDetached === isDetached) {
      return
    }
    this.#isDetached = isDetached
    this.logger.info('access to targets changed', { detached: isDetached })
    if (isReadyState(this.#self.state)) {
      this.setState(MemberState.Ready)
    }
  }

  /** Calls the listener when the set of ready members has changed. */
  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** This process. */
  get self (): Member {
    return this.#self
  }

  /** Returns the incarnation of the latest process known at an address; 0 if none is. */
  incarnationOf (address: string): number {
    return address === this.#self.address ? this.#self.incarnation : this.#table.get(address)?.incarnation ?? 0
  }

  /** Returns the members that are not suspected of having failed, this process first. */
  live (): readonly Member[] {
    return this.#derive().live
  }

  /** Returns the live members that are ready, detached ones included, this process first if it is ready. */
  ready (): readonly Member[] {
    return this.#derive().ready
  }

  /**
   * Returns the ready members that may own services and partitions of the jobs: those whose capacity is close to the greatest,
   * because all requests of the fleet wait for the owners' decisions.
   */
  ownerCandidates (): readonly Member[] {
    return this.#derive().ownerCandidates
  }

  /** Returns the other live members, those in this process's availability zone first, in random order otherwise. */
  peersByDistance (): readonly Member[] {
    const others = this.live().slice(1)
    const nearby = others.filter(member => member.zone === this.#self.zone)
    const distant = others.filter(member => member.zone !== this.#self.zone)
    return [...shuffle(nearby), ...shuffle(distant)]
  }

  /** Returns the other members that reach targets as far as is known, those that drain included, in the same order as {@link peersByDistance}. */
  relaysByDistance (): readonly Member[] {
    return this.peersByDistance().filter(({ state }) => state === MemberState.Ready || state === MemberState.Draining)
  }

  /**
   * Marks a member that did not respond as suspected by this process, which excludes it from {@link ready}, and probes it.
   * Its response ends the suspicion; without one, the other members are told.
   */
  suspect (address: string): void {
    if (this.#table.get(address) === undefined || this.#locallySuspected.has(address)) {
      return
    }
    this.logger.info('member suspected', { peer: address })
    this.#change(address, () => { this.#locallySuspected.add(address) })
    this.#detector.probe(address)
    this.#notifyIfChanged()
  }

  close (): void {
    clearInterval(this.#timer)
    this.#detector.close()
    if (this.#updateTimer !== null) {
      clearTimeout(this.#updateTimer)
    }
    for (const { timer } of this.#relayedPings.values()) {
      clearTimeout(timer)
    }
  }

  #runRound (): void {
    const now = Date.now()
    const failed = this.#table.advance(now, suspicionTimeoutMilliseconds * this.#health.timeoutFactor)
    for (const { address } of failed) {
      this.#change(address, () => { this.#locallySuspected.delete(address) })
      this.logger.info('member failed', { peer: address })
    }
    if (this.#table.alive().length === 0) {
      this.#join(sample([...this.#seeds], maximumSeedsPerRound))
    }
    this.#probeNext(1)
    if (this.live().length === 1 || Math.random() < reconnectShare) {
      this.#reconnect()
    }
    this.#notifyIfChanged()
  }

  /** Probes the next members in an order that is shuffled anew once all have been probed. */
  #probeNext (count: number): void {
    const budget = Math.min(count, maximumPendingProbes - this.#detector.pending)
    let started = 0
    let reshuffled = false
    while (started < budget) {
      const address = this.#probeOrder.pop()
      if (address === undefined) {
        if (reshuffled || this.#table.alive().length === 0) {
          return
        }
        this.#probeOrder = shuffle(this.#table.alive()).map(member => member.address)
        reshuffled = true
      } else if (this.#table.isAlive(address) && this.#table.get(address)?.suspected === false) {
        this.#detector.probe(address)
        started += 1
      }
    }
  }

  /** Contacts a member that is suspected or has failed, or a seed address that belongs to no member, in case it is alive after all. */
  #reconnect (): void {
    const suspected = this.#table.alive().filter(member => member.suspected).map(member => member.address)
    const others = [...this.#table.failed(), ...this.#seeds].filter(address => !this.#table.isAlive(address))
    const candidates = [...suspected, ...others]
    for (const address of sample(candidates, 1)) {
      this.#sendPing(address, 0)
    }
  }

  #join (addresses: readonly string[]): void {
    for (const address of addresses) {
      this.transport.send(address, { type: PeerMessageType.MemberSync, wantsReply: true, members: packMembers([this.#self]) })
    }
  }

  #chooseHelpers (target: string, count: number): readonly string[] {
    return sample(this.#table.alive(), count, member => member.address !== target && this.#isReady(member.address)).map(member => member.address)
  }

  #onUnresponsive (address: string, probedAt: number): void {
    const known = this.#table.get(address)
    if (known === undefined || known.suspected) {
      return
    }
    const now = Date.now()
    const isolated = now - this.#lastMessageAt > isolationMilliseconds
    if (!isolated && this.#lastMessageAt < probedAt) {
      // Nothing has arrived from anybody since the probe began, so it says nothing of the member.
      this.#detector.probe(address)
      return
    }
    const update = { ...known, suspected: true }
    this.#change(address, () => { this.#table.apply(update, now) })
    this.logger.info('member unresponsive', { peer: address, version: known.version, isolated })
    // A process that hears from nobody is probably cut off itself, and would accuse everyone else.
    if (!isolated) {
      this.#passOn(update)
      this.#send(address, [update])
    }
    this.#notifyIfChanged()
  }

  #onMessage (message: MemberMessage, sender: string): void {
    this.#lastMessageAt = Date.now()
    if (this.#locallySuspected.has(sender)) {
      this.#change(sender, () => { this.#locallySuspected.delete(sender) })
    }
    const updates = unpackMembers(message.members)
    for (const update of updates) {
      this.#applyUpdate(update)
    }
    const objection = message.type === PeerMessageType.MemberSync ? this.#newerThan(updates) : this.#objectionTo(sender, updates[0])
    if (message.type === PeerMessageType.Ping) {
      this.#sendAck(sender, message.sequence, objection)
    } else if (objection.length > 0) {
      this.#send(sender, objection)
    }
    this.#handle(message, sender)
    this.#notifyIfChanged()
  }

  #handle (message: MemberMessage, sender: string): void {
    switch (message.type) {
      case PeerMessageType.Ping:
        this.#compareHash(message.hash, sender)
        return
      case PeerMessageType.Ack:
        this.#compareHash(message.hash, sender)
        if (!this.#relayAck(message.sequence, sender)) {
          this.#detector.onAck(message.sequence)
        }
        return
      case PeerMessageType.Nack:
        this.#detector.onNack(message.sequence)
        return
      case PeerMessageType.PingRequest:
        this.#pingFor(sender, message.sequence, message.target)
        return
      case PeerMessageType.MemberSync:
        if (message.wantsReply) {
          this.#sendAll(sender, false)
        }
        break
      default:
        // The updates in a message are all there is to the other types.
    }
  }

  #applyUpdate (update: MemberUpdate): void {
    if (update.address === this.#self.address) {
      this.#onOwnUpdate(update)
      return
    }
    let isNewer = false
    this.#change(update.address, () => { isNewer = this.#table.apply(update, Date.now()) })
    if (isNewer) {
      this.#passOn(update)
    }
  }

  /** Refutes a suspicion of this process, and supersedes an earlier process at this address whose clock ran ahead. */
  #onOwnUpdate (update: MemberUpdate): void {
    if (update.incarnation > this.#self.incarnation) {
      this.#updateSelf({ incarnation: update.incarnation + 1 })
      return
    }
    const isCurrent = update.incarnation === this.#self.incarnation && update.version >= this.#self.version
    if (isCurrent && update.suspected) {
      this.#health.onFault()
      this.#updateSelf({ version: update.version })
    }
  }

  /** Changes this process's own entry, with a new version, and tells the other members. */
  #updateSelf (change: Partial<MemberUpdate>): void {
    const updated = { ...this.#self, ...change }
    this.#self = { ...updated, version: updated.version + 1 }
    this.#derived = null
    this.#updates.add(this.#self)
    this.#sendUpdates()
  }

  /** Passes an update on to some members soon, and to more along with other messages. */
  #passOn (update: MemberUpdate): void {
    this.#updates.add(update)
    this.#updateTimer ??= setTimeout(() => {
      this.#updateTimer = null
      this.#sendUpdates()
    }, updateDelayMilliseconds)
  }

  #sendUpdates (): void {
    while (this.#updates.hasFresh) {
      const updates = this.#updates.takeFresh(maximumUpdatesPerDatagram - 1)
      for (const { address } of sample(this.#table.alive(), updateFanout, member => !member.suspected)) {
        this.#send(address, updates)
      }
    }
  }

  #send (address: string, updates: readonly MemberUpdate[]): void {
    const others = updates.filter(update => update.address !== this.#self.address)
    this.transport.send(address, { type: PeerMessageType.MemberUpdates, members: packMembers([this.#self, ...others]) })
  }

  #sendPing (address: string, sequence: number): void {
    const members = this.#digest(this.#objectionTo(address, undefined))
    this.transport.send(address, { type: PeerMessageType.Ping, sequence, hash: this.#hash, members })
  }

  #sendAck (address: string, sequence: number, updates: readonly MemberUpdate[]): void {
    this.transport.send(address, { type: PeerMessageType.Ack, sequence, hash: this.#hash, members: this.#digest(updates) })
  }

  /** Hash of all members that are not suspected, this process included. */
  get #hash (): number {
    return this.#table.hash ^ hashOf(this.#self)
  }

  #digest (updates: readonly MemberUpdate[]): ReturnType<typeof packMembers> {
    const piggybacked = this.#updates.piggyback(maximumPiggybackedUpdates).filter(update => update.address !== this.#self.address)
    return packMembers([this.#self, ...updates, ...piggybacked])
  }

  /**
   * Returns what a member has to refute because it is alive: that it is suspected, or that a later process than the one
   * that it claims to be was at its address before.
   */
  #objectionTo (address: string, claim: MemberUpdate | undefined): readonly MemberUpdate[] {
    const known = this.#table.get(address)
    const isObjectionable = known?.suspected === true || (known !== undefined && claim !== undefined && known.incarnation > claim.incarnation)
    return known !== undefined && isObjectionable ? [known] : []
  }

  /** Returns what is known that supersedes the given updates, up to what fits into one datagram. */
  #newerThan (updates: readonly MemberUpdate[]): readonly MemberUpdate[] {
    return updates.flatMap(update => {
      const known = this.#table.get(update.address)
      return known !== undefined && supersedes(known, update) ? [known] : []
    }).slice(0, maximumUpdatesPerDatagram - 1)
  }

  #pingFor (origin: string, sequence: number, target: string): void {
    this.#relaySequence -= 1
    const own = this.#relaySequence
    const timer = setTimeout(() => {
      this.#relayedPings.delete(own)
      this.transport.send(origin, { type: PeerMessageType.Nack, sequence, members: this.#digest([]) })
    }, helperTimeoutMilliseconds)
    this.#relayedPings.set(own, { origin, sequence, timer })
    this.#sendPing(target, own)
  }

  /** Passes the response to a relayed ping on; returns false if the response is to a ping of this process's own. */
  #relayAck (own: number, target: string): boolean {
    const relayed = this.#relayedPings.get(own)
    if (relayed === undefined) {
      return false
    }
    clearTimeout(relayed.timer)
    this.#relayedPings.delete(own)
    const known = this.#table.get(target)
    this.#sendAck(relayed.origin, relayed.sequence, known === undefined ? [] : [known])
    return true
  }

  /** Exchanges all members with a member that has known others for several probes: some update has not reached one of the two. */
  #compareHash (hash: number, sender: string): void {
    if (hash === this.#hash) {
      this.#mismatches = 0
      return
    }
    this.#mismatches += 1
    const now = Date.now()
    if (this.#mismatches >= mismatchesBeforeSync && now - this.#lastSyncAt > syncIntervalMilliseconds) {
      this.#mismatches = 0
      this.#lastSyncAt = now
      this.#sendAll(sender, true)
    }
  }

  #sendAll (address: string, wantsReply: boolean): void {
    const others = this.#table.alive()
    const perDatagram = maximumUpdatesPerDatagram - 1
    for (let start = 0; start === 0 || start < others.length; start += perDatagram) {
      const isLast = start + perDatagram >= others.length
      const members = packMembers([this.#self, ...others.slice(start, start + perDatagram)])
      this.transport.send(address, { type: PeerMessageType.MemberSync, wantsReply: wantsReply && isLast, members })
    }
  }

  /** Makes a change that concerns one member, and notes whether the set of ready members has changed with it. */
  #change (address: string, change: () => void): void {
    const before = this.#table.get(address)
    const wasReady = this.#isReady(address)
    change()
    const after = this.#table.get(address)
    if (before !== after || wasReady !== this.#isReady(address)) {
      this.#derived = null
    }
    this.#readyChanged ||= wasReady !== this.#isReady(address) || (wasReady && before?.incarnation !== after?.incarnation)
  }

  #isReady (address: string): boolean {
    const known = this.#table.get(address)
    return known !== undefined && isReadyState(known.state) && !known.suspected && !this.#locallySuspected.has(address)
  }

  #derive (): DerivedMembers {
    this.#derived ??= this.#computeDerived()
    return this.#derived
  }

  #computeDerived (): DerivedMembers {
    const others = this.#table.alive().filter(member => !member.suspected && !this.#locallySuspected.has(member.address))
    const live = [this.#self, ...others]
    const ready = live.filter(member => isReadyState(member.state))
    const greatestCapacity = ready.reduce((greatest, member) => Math.max(greatest, member.capacity), 0)
    return { live, ready, ownerCandidates: ready.filter(member => member.capacity >= greatestCapacity * minimumOwnerCapacityShare) }
  }

  #notifyIfChanged (): void {
    if (!this.#readyChanged) {
      return
    }
    this.#readyChanged = false
    this.logger.info('members changed', { ready: this.ready().length, live: this.live().length })
    for (const listener of this.#listeners) {
      listener()
    }
  }
}
