/**
 * The client side of slot allocation. Each service has one owner among the fleet's processes, which allocates the slots
 * of the service's targets (see slot-owner.ts). This module requests slots from owners over datagrams, keeps the slots
 * that were granted, reports them periodically and releases them.
 */
import { DecisionKind, heldAccountOf, HolderPacing, LeavingTargets, receivedStanding, receivedTiming, RefusalReason, SlotOutcome, standingOf, TargetRateLimits, receivedWait, unknownWait } from '@arbutusloft/policy'
import type { AnswerTiming, CrashReport, HeldSlot, CrashQuarantine, QueueStanding, SoundReport, SlotDecision, VersionHistory, SlotWait, ZoneRoutingOptions } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import type { Membership } from '../peers/membership.js'
import { isSlotMessage, PeerMessageType } from '../peers/peer-messages.js'
import type { SlotGrantMessage, SlotMessage, SlotQueuedMessage } from '../peers/peer-messages.js'
import type { PeerTransport } from '../peers/peer-socket.js'
import type { AccountCharging } from '../accounts/account-charging.js'
import { VersionConfirmation } from '../streams/version-confirmation.js'
import type { TargetFreshness } from '../targets/target-freshness.js'
import { TargetState } from '../targets/target-registry.js'
import type { Target, TargetEndpoint, TargetRegistry } from '../targets/target-registry.js'
import { Alarm } from '../util/alarm.js'
import { RateLimitSharing } from './rate-limit-sharing.js'
import { ServiceOwners } from './service-owners.js'
import { endsBatchRequest, withdrawnAfter } from './slot.js'
import type { AcquireResult, AnswerEvidence, Slot, SlotDemand } from './slot.js'
import { SlotOwner } from './slot-owner.js'
import type { ObservedRateLimitChange } from './slot-owner.js'

/** A request for a slot that is not granted yet. */
interface PendingRequest {
  readonly permit: string
  demand: SlotDemand
  readonly settle: (result: AcquireResult) => void
  /** Address of the member that the request was sent to. */
  ownerAddress: string
  /** Address of the owner from which it was last withdrawn for another one; empty if none. */
  formerOwner: string
  /** Targets that were excluded when the request was last sent. */
  excluded: readonly string[]
  /** Time from which the demand's patience counts, in milliseconds since the epoch. */
  waitsSince: number
  /** Time at which the request was sent, retransmissions not counted, in milliseconds since the epoch. */
  sentAt: number
  /** Whether the owner has confirmed that the request is queued. */
  queued: boolean
  /** Whether the request was retransmitted because the owner had not responded. */
  retransmitted: boolean
  /** Why it waits, as the owner told last. */
  wait: SlotWait
}

/** A slot that this process holds. */
interface LocalSlot extends HeldSlot {
  readonly service: string
  /** As in {@link SlotRequest}. */
  readonly prefix: readonly string[]
  /** As in {@link SlotRequest}. */
  readonly digest: string
  /** Aborted when the owner revokes the slot. */
  readonly revoke: AbortController
  /** Address of the member that granted the slot or got the latest report of it; the release is sent there. */
  ownerAddress: string
}

/** Time after which a request that got no response is retransmitted; several round trips between availability zones. */
const retransmitMilliseconds = 40
/** Time without a response after which the owner is suspected and the request goes to the next owner. */
const ownerTimeoutMilliseconds = 120
/** Interval at which held slots are reported to their owners, which lets an owner find slots whose release was lost. */
const reportIntervalMilliseconds = 900
/** The same after a change of owners, when a new owner has to learn which slots are held and a report may be lost. */
const takeoverReportIntervalMilliseconds = 300
/** Time after a change of owners for which the shorter interval applies. */
const takeoverMilliseconds = 1_000
/** Time after which a queued request is sent again, in case the owner has lost its soft state. */
const queuedResendMilliseconds = 600
/** Number of withdrawn permits that are remembered, whose grants may still be in transit. */
const maximumWithdrawn = 1_024
/** Delay before a batch request that was rejected is sent again. */
const batchRetryMilliseconds = 100

/** Acquires slots for this process; falls back to the process's own {@link SlotOwner} if no other owner responds. */
export class SlotClient {
  readonly #pending = new Map<string, PendingRequest>()
  readonly #held = new Map<string, LocalSlot>()
  /** Permits of requests that were withdrawn before a slot was used. */
  readonly #withdrawn = new Set<string>()
  readonly #owner: SlotOwner
  readonly #leaving = new LeavingTargets()
  readonly #limits = new TargetRateLimits()
  readonly #holderPacing = new HolderPacing(this.#limits)
  readonly #rateLimitSharing: RateLimitSharing
  readonly #pendingAlarm = new Alarm(now => this.#checkPending(now))
  readonly #reportAlarm = new Alarm(now => this.#reportAll(now))
  readonly #owners: ServiceOwners
  #ownersChangedAt = 0
  readonly #permitPrefix: string
  /** Services of which the owner gets one more report, even if no slot is held. */
  readonly #servicesToReport = new Set<string>()
  readonly #ownerListeners: Array<(address: string) => void> = []
  #sequence = 0

  constructor (
    private readonly membership: Membership,
    private readonly transport: PeerTransport,
    private readonly targets: TargetRegistry,
    private readonly freshness: TargetFreshness,
    private readonly quarantine: CrashQuarantine,
    private readonly versions: VersionHistory,
    private readonly charging: AccountCharging | null = null,
    zoneOptions?: ZoneRoutingOptions
  ) {
    this.#owners = new ServiceOwners(membership, transport.address)
    this.#permitPrefix = `${transport.address}/${membership.self.incarnation.toString(36)}/`
    const confirmation = new VersionConfirmation({ versions, freshness, membership, transport, nearOwners: service => this.#owners.ownersOf(service) })
    this.#owner = new SlotOwner(targets, freshness, this.#leaving, quarantine, versions, (service, decision) => { this.#deliverDecision(service, decision) }, confirmation, this.#limits, charging, zoneOptions)
    this.#rateLimitSharing = new RateLimitSharing(this.#limits, targets, transport, this.#owner)
    targets.onChange(changed => { this.#onTargetsChanged(changed) })
    transport.onMessage((message, sender) => {
      if (isSlotMessage(message)) {
        this.#onMessage(message, sender)
      }
    })
    membership.onChange(() => { this.#onMembersChanged() })
  }

  /**
   * Requests a slot and waits until it is granted or rejected. Batch requests are retried until they are granted or
   * aborted, unless they continue what no target can go on with. If the signal aborts, withdraws the request and resolves as withdrawn,
   * with why it waited.
   */
  async acquire (demand: SlotDemand, signal: AbortSignal): Promise<AcquireResult> {
    if (signal.aborted) {
      return withdrawnAfter(unknownWait)
    }
    const now = Date.now()
    const heldBack = this.quarantine.remainingFor({ parts: demand.prefix, digest: demand.digest }, now)
    if (demand.workClass === WorkClass.Online && heldBack > 0 && now - this.#ownersChangedAt < takeoverMilliseconds) {
      // The new owner may not have been told yet. An owner that knows better decides.
      return { granted: false, reason: RefusalReason.Quarantined, retryAfter: heldBack }
    }
    this.#sequence += 1
    const permit = this.#permitPrefix + this.#sequence.toString(36)
    return await new Promise(resolve => {
      const abort = (): void => {
        this.#withdraw(permit)
        settle(withdrawnAfter(pending.wait))
      }
      const settle = (result: AcquireResult): void => {
        signal.removeEventListener('abort', abort)
        this.#pending.delete(permit)
        resolve(result)
      }
      const ownerAddress = this.#owners.ownerOf(demand.service)
      const pending: PendingRequest = { permit, demand, settle, ownerAddress, formerOwner: '', excluded: demand.excluded, waitsSince: now, sentAt: Date.now(), queued: false, retransmitted: false, wait: unknownWait }
      signal.addEventListener('abort', abort, { once: true })
      this.#pending.set(permit, pending)
      // The owner may count a slot of this process whose release was lost, and each request makes it keep that.
      this.#servicesToReport.add(demand.service)
      this.#reportAlarm.setBy(now + this.#reportInterval(now))
      this.#sendRequest(pending)
      this.#pendingAlarm.setBy(nextCheckOf(pending))
    })
  }

  /**
   * Whether a further request may be sent to the target of a slot that this process holds, instead of releasing the slot: the target would also be
   * granted a new one, and names no rate limit, which only new slots keep within.
   */
  canRunAgain ({ permit, target: { id, born } }: Slot): boolean {
    const target = this.targets.get(id)
    return this.#held.has(permit) && target?.state === TargetState.Ready && target.born === born && !this.#leaving.has(id, born) &&
      this.#limits.limitOf(id, born) === null && this.freshness.check()
  }

  /** Returns the service's slots in use and its waiting requests, or null if this process is not the owner. */
  serviceLoad (service: string): ReturnType<SlotOwner['serviceLoad']> {
    return this.#owners.ownerOf(service) === this.transport.address ? this.#owner.serviceLoad(service) : null
  }

  /** Whether this process owns one of the services, or would soon if their owners failed. */
  isNearOwner (services: Iterable<string>): boolean {
    return [...services].some(service => this.#owners.ownersOf(service).includes(this.transport.address))
  }

  /** Addresses of the other processes that own the services which this process knows, or would if their owners failed. */
  get nearOwners (): readonly string[] {
    return this.#owners.nearOwners.filter(address => address !== this.transport.address)
  }

  /** Processes that grant slots or may soon, as far as this process knows. */
  get owners (): Pick<ServiceOwners, 'owners' | 'granters' | 'learn'> {
    return this.#owners
  }

  /** Calls the listener with the address of each other process that begins to own slots which this process uses. */
  onOwnerChange (listener: (address: string) => void): void {
    this.#ownerListeners.push(listener)
  }

  /** Returns the rate limit that the target which started at this time has named, in requests a second, or null if it has none. */
  rateLimitOf ({ id, born }: Pick<Target, 'id' | 'born'>): number | null {
    return this.#limits.limitOf(id, born)
  }

  /** Calls the listener when the rate limit of a target changes whose slots this process grants, or has granted. */
  onRateLimitChange (listener: (change: ObservedRateLimitChange) => void): void {
    this.#owner.onRateLimitChange(listener)
  }

  /** What this process knows of targets whose slots it grants, of where requests went, and of the room that batch work leaves. */
  get granted (): Pick<SlotOwner, 'batchRooms' | 'expectedTimes' | 'onSpeedsChange' | 'zoneGrants'> {
    return this.#owner
  }

  /** Number of slots that this process holds. */
  get held (): number {
    return this.#held.size
  }

  close (): void {
    this.#pendingAlarm.close()
    this.#reportAlarm.close()
    this.#owner.close()
  }

  #sendRequest (pending: PendingRequest): void {
    const { service, ...demand } = pending.demand
    const { zone } = this.membership.self
    const { permit } = pending
    pending.excluded = [...new Set([...demand.excluded, ...this.#holderPacing.exhausted(pending.ownerAddress, this.#memberCount, Date.now())])]
    const request = { ...demand, excluded: pending.excluded }
    if (pending.ownerAddress === this.transport.address) {
      pending.queued = true
      if (!this.#owner.request(service, { ...request, permit, zone, holder: this.transport.address })) {
        pending.wait = this.#owner.waitOf(service, permit) ?? unknownWait
      }
      return
    }
    this.transport.send(pending.ownerAddress, { type: PeerMessageType.SlotRequest, service, request: { ...request, permit, zone } })
  }

  /** Retransmits and redirects requests that got no response in time; returns when to check again. */
  #checkPending (now: number): number {
    for (const pending of [...this.#pending.values()]) {
      if (now < nextCheckOf(pending)) {
        continue
      }
      if (pending.queued) {
        this.#restartRequest(pending, now)
      } else if (pending.retransmitted) {
        this.membership.suspect(pending.ownerAddress)
        pending.ownerAddress = this.#owners.ownerOf(pending.demand.service)
        this.#restartRequest(pending, now)
      } else {
        pending.retransmitted = true
        this.#sendRequest(pending)
      }
    }
    let next = Infinity
    for (const pending of this.#pending.values()) {
      next = Math.min(next, nextCheckOf(pending))
    }
    return next
  }

  #restartRequest (pending: PendingRequest, now: number): void {
    pending.sentAt = now
    pending.queued = false
    pending.retransmitted = false
    this.#sendRequest(pending)
    this.#pendingAlarm.setBy(nextCheckOf(pending))
  }

  #onMembersChanged (): void {
    const now = Date.now()
    const changes = this.#owners.update(now)
    for (const { service, former, current } of changes) {
      this.#rateLimitSharing.tell(service, current.filter(address => !former.includes(address)))
    }
    const newOwners = changes.filter(({ former, current }) => former[0] !== current[0]).map(({ service }) => this.#owners.ownerOf(service))
    if (newOwners.length === 0) {
      return
    }
    this.#ownersChangedAt = now
    for (const address of new Set(newOwners)) {
      this.#notifyOwner(address)
    }
    for (const pending of this.#pending.values()) {
      const owner = this.#owners.ownerOf(pending.demand.service)
      if (owner !== pending.ownerAddress) {
        this.#sendWithdrawal(pending.ownerAddress, pending)
        pending.formerOwner = pending.ownerAddress
        pending.ownerAddress = owner
        this.#restartRequest(pending, now)
      }
    }
    this.#reportAlarm.setBy(this.#reportAll(now))
  }

  #notifyOwner (address: string): void {
    if (address === this.transport.address) {
      return
    }
    for (const listener of this.#ownerListeners) {
      listener(address)
    }
  }

  #withdraw (permit: string): void {
    const pending = this.#pending.get(permit)
    if (pending === undefined) {
      return
    }
    this.#sendWithdrawal(pending.ownerAddress, pending)
    this.#withdrawn.add(permit)
    const [oldest] = this.#withdrawn
    if (this.#withdrawn.size > maximumWithdrawn && oldest !== undefined) {
      this.#withdrawn.delete(oldest)
    }
  }

  #sendWithdrawal (owner: string, { permit, demand: { service } }: PendingRequest): void {
    if (owner === this.transport.address) {
      this.#owner.withdraw(service, permit)
    } else {
      this.transport.send(owner, { type: PeerMessageType.SlotWithdrawal, service, permit })
    }
  }

  /** Withdraws a granted request once more from an owner before, which otherwise charges its account as well if the first withdrawal was lost. */
  #repeatWithdrawal (pending: PendingRequest, granter: string): void {
    const { formerOwner, demand } = pending
    if (demand.caller !== undefined && formerOwner !== '' && formerOwner !== granter) {
      this.#sendWithdrawal(formerOwner, pending)
    }
  }

  /** Reports all slots that this process holds to their owners; returns when to report again. */
  #reportAll (now: number): number {
    const services = new Map<string, HeldSlot[]>()
    for (const { service, permit, target, workClass, due, ran, account, tokens } of this.#held.values()) {
      const held = services.get(service) ?? []
      held.push({ permit, target, workClass, due, ran, ...(account === undefined ? {} : { account, tokens: tokens ?? 1 }) })
      services.set(service, held)
    }
    for (const pending of this.#pending.values()) {
      services.set(pending.demand.service, services.get(pending.demand.service) ?? [])
    }
    for (const service of this.#servicesToReport) {
      services.set(service, services.get(service) ?? [])
    }
    for (const [service, held] of services) {
      this.#sendReport(service, held)
      // One empty report tells the owner that no slot is held any more; after it, nothing is reported.
      if (held.length > 0) {
        this.#servicesToReport.add(service)
      } else {
        this.#servicesToReport.delete(service)
      }
    }
    return this.#servicesToReport.size === 0 && this.#pending.size === 0 ? Infinity : now + this.#reportInterval(now)
  }

  #reportInterval (now: number): number {
    return now - this.#ownersChangedAt < takeoverMilliseconds ? takeoverReportIntervalMilliseconds : reportIntervalMilliseconds
  }

  #sendReport (service: string, held: readonly HeldSlot[]): void {
    const owner = this.#owners.ownerOf(service)
    for (const slot of held) {
      const known = this.#held.get(slot.permit)
      if (known !== undefined) {
        known.ownerAddress = owner
      }
    }
    if (owner === this.transport.address) {
      this.#owner.report(service, owner, held)
    } else {
      this.transport.send(owner, { type: PeerMessageType.SlotReport, service, held })
    }
  }

  #onMessage (message: SlotMessage, sender: string): void {
    switch (message.type) {
      case PeerMessageType.SlotRequest: {
        const { digest = '', continues = null } = message.request
        const decided = this.#owner.request(message.service, { ...message.request, digest, continues, holder: sender })
        if (!decided) {
          this.transport.send(sender, { type: PeerMessageType.SlotQueued, permit: message.request.permit, ...this.#waitMark(message.service, message.request.permit) })
        }
        return
      }
      case PeerMessageType.SlotWithdrawal:
        this.#owner.withdraw(message.service, message.permit)
        return
      case PeerMessageType.SlotRelease:
        this.#owner.release(message.service, message.permit, message.isNotRun === true ? SlotOutcome.NotRun : message.outcome, message.crash === undefined ? null : { digest: '', ...message.crash }, sender, message.sound ?? null, receivedTiming(message.timing))
        return
      case PeerMessageType.SlotSound:
        this.#owner.onSound(message.service, message.sound)
        return
      case PeerMessageType.SlotReport:
        this.#owner.report(message.service, sender, message.held)
        return
      case PeerMessageType.SlotQueued:
        this.#onQueued(message.permit, receivedWait(message.wait))
        return
      case PeerMessageType.SlotGrant:
        if (message.isMixed === true) {
          this.versions.markMixed(message.service, Date.now())
        }
        this.#onGrant(message.service, message.permit, this.#endpointOf(message), sender, message.rateLimit)
        return
      case PeerMessageType.SlotRejection:
        this.#onRejection(message.permit, message.reason, message.retryAfter, receivedStanding(message.standing))
        return
      case PeerMessageType.SlotRevocation:
        this.#held.get(message.permit)?.revoke.abort()
        return
      case PeerMessageType.TargetLeaving:
        if (this.#leaving.add(message.target, message.born)) {
          this.#owner.onTargetLeaving()
        }
        return
      case PeerMessageType.RateLimits:
        this.#rateLimitSharing.onMessage(message, sender)
    }
  }

  /** Tells the other members that may grant slots on targets which the list shows as leaving; one of them may have an older list. */
  #onTargetsChanged (targets: readonly Target[]): void {
    for (const target of targets) {
      if (target.state === TargetState.Draining && this.#leaving.add(target.id, target.born) && this.isNearOwner([target.service])) {
        this.#announceLeaving(target.service, target)
      }
    }
  }

  #markLeaving (service: string, target: TargetEndpoint): void {
    if (this.#leaving.add(target.id, target.born)) {
      this.#owner.onTargetLeaving()
      this.#announceLeaving(service, target)
    }
  }

  #announceLeaving (service: string, target: TargetEndpoint): void {
    for (const owner of this.#owners.ownersOf(service)) {
      this.#sendLeaving(owner, target)
    }
  }

  #sendLeaving (owner: string, { id, born }: Pick<Target, 'id' | 'born'>): void {
    if (owner !== this.transport.address) {
      this.transport.send(owner, { type: PeerMessageType.TargetLeaving, target: id, born })
    }
  }

  /** Gives a slot back whose target cannot be used, and requests another one. */
  #giveBack (pending: PendingRequest, target: TargetEndpoint, owner: string): void {
    const { demand, permit } = pending
    this.#sendRelease(demand.service, owner, permit, SlotOutcome.NotRun, null)
    pending.demand = { ...demand, excluded: [...demand.excluded, target.id] }
    this.#restartRequest(pending, Date.now())
  }

  /** Gives a slot back that an owner granted without knowing the rate limit of its target, of which this process has used its share, and requests another one. */
  #giveBackUnpaced (pending: PendingRequest, target: TargetEndpoint, owner: string, now: number): void {
    const { demand, permit, waitsSince } = pending
    this.#sendRelease(demand.service, owner, permit, SlotOutcome.NotRun, null)
    if (!pending.excluded.includes(target.id)) {
      pending.demand = { ...demand, patience: Math.max(0, demand.patience - (now - waitsSince)) }
      pending.waitsSince = now
      this.#restartRequest(pending, now)
      return
    }
    // The owner has no other target for it: sends it again when the share may allow a request, or the limit may be over.
    const wait = Math.max(batchRetryMilliseconds, this.#holderPacing.waitFor(target.id, target.born, this.#memberCount, now))
    pending.sentAt = now - Math.max(0, queuedResendMilliseconds - wait)
    pending.queued = true
    this.#pendingAlarm.setBy(nextCheckOf(pending))
  }

  /** Number of instances that share the rate limits of targets. */
  get #memberCount (): number {
    return Math.max(1, this.membership.ready().length)
  }

  /** Delivers a decision that this process made as an owner to the holder that it concerns. */
  #deliverDecision (service: string, decision: SlotDecision): void {
    const { holder, permit } = decision
    if (decision.kind === DecisionKind.Grant) {
      this.#rateLimitSharing.onGranted({ id: decision.target, ...this.#startOf(decision.target) }, permit, this.#owners.ownersOf(service))
    }
    if (holder === this.transport.address) {
      this.#applyDecision(service, decision)
      return
    }
    switch (decision.kind) {
      case DecisionKind.Grant:
        this.transport.send(holder, { type: PeerMessageType.SlotGrant, service, permit, target: decision.target, address: decision.address, ...this.#startOf(decision.target), ...this.#mixedMark(service), ...this.#limitMark(decision.target) })
        return
      case DecisionKind.Refuse:
        this.transport.send(holder, { type: PeerMessageType.SlotRejection, permit, reason: decision.reason, retryAfter: decision.retryAfter, ...standingOf(decision.standing) })
        return
      case DecisionKind.Revoke:
        this.transport.send(holder, { type: PeerMessageType.SlotRevocation, permit })
    }
  }

  #applyDecision (service: string, decision: SlotDecision): void {
    switch (decision.kind) {
      case DecisionKind.Grant:
        this.#onGrant(service, decision.permit, this.#endpointOf(decision), this.transport.address, this.#limitMark(decision.target).rateLimit)
        return
      case DecisionKind.Refuse:
        this.#onRejection(decision.permit, decision.reason, decision.retryAfter, decision.standing ?? null)
        return
      case DecisionKind.Revoke:
        this.#held.get(decision.permit)?.revoke.abort()
    }
  }

  /** Returns the target of a grant. What the grant leaves out is taken from this process's own list. */
  #endpointOf (grant: Pick<SlotGrantMessage, 'target' | 'address' | 'born' | 'softwareVersion'>): TargetEndpoint {
    const { born, softwareVersion } = this.#startOf(grant.target)
    return { id: grant.target, address: grant.address, born: grant.born ?? born, softwareVersion: grant.softwareVersion ?? softwareVersion }
  }

  #startOf (target: string): Pick<TargetEndpoint, 'born' | 'softwareVersion'> {
    const { born, softwareVersion } = this.targets.get(target) ?? { born: 0, softwareVersion: '' }
    return { born, softwareVersion }
  }

  #mixedMark (service: string): Pick<SlotGrantMessage, 'isMixed'> {
    return this.versions.isMixed(service, Date.now()) ? { isMixed: true } : {}
  }

  #limitMark (target: string): Pick<SlotGrantMessage, 'rateLimit'> {
    const { born } = this.#startOf(target)
    return this.#limits.isKnown(target, born) ? { rateLimit: this.#limits.limitOf(target, born) } : {}
  }

  #waitMark (service: string, permit: string): Pick<SlotQueuedMessage, 'wait'> {
    const wait = this.#owner.waitOf(service, permit)
    return wait === null ? {} : { wait }
  }

  #onQueued (permit: string, wait: SlotWait): void {
    const pending = this.#pending.get(permit)
    if (pending !== undefined) {
      pending.queued = true
      pending.wait = wait
    }
  }

  #onGrant (service: string, permit: string, target: TargetEndpoint, owner: string, grantedLimit: SlotGrantMessage['rateLimit']): void {
    const pending = this.#pending.get(permit)
    if (pending === undefined) {
      // The request was withdrawn, or two owners granted it: releases the slot unless it is in use.
      if (!this.#held.has(permit)) {
        this.#sendRelease(service, owner, permit, this.#withdrawn.has(permit) ? SlotOutcome.NotRun : SlotOutcome.Stopped, null)
      }
      return
    }
    if (this.#leaving.has(target.id, target.born)) {
      this.#sendLeaving(owner, target)
      this.#giveBack(pending, target, owner)
      return
    }
    const continued = pending.demand.continues?.softwareVersion ?? ''
    if (continued !== '' && continued !== target.softwareVersion) {
      // An owner of an earlier build does not know of versions.
      this.#giveBack(pending, target, owner)
      return
    }
    const now = Date.now()
    if (!this.#holderPacing.admits(owner, target.id, target.born, grantedLimit, this.#memberCount, now)) {
      this.#giveBackUnpaced(pending, target, owner, now)
      return
    }
    const { workClass, prefix, digest, due, ran } = pending.demand
    this.charging?.onSlotGranted(permit, owner, pending.demand)
    this.#repeatWithdrawal(pending, owner)
    const revoke = new AbortController()
    const held: LocalSlot = { permit, target: target.id, workClass, prefix, digest, due, ran, service, revoke, ownerAddress: owner, ...heldAccountOf(pending.demand) }
    this.#held.set(permit, held)
    this.#reportAlarm.setBy(now + this.#reportInterval(now))
    const release = (outcome: SlotOutcome, evidence?: AnswerEvidence): void => { this.#release(held, outcome, evidence) }
    const recordRateLimit = (requestsPerSecond: number | null, sentAt: number): void => {
      const report = { service, target: target.id, born: target.born, requestsPerSecond, sentAgo: Math.max(0, Date.now() - sentAt), heardAgo: 0 }
      this.#rateLimitSharing.onAnswer(report, permit, grantedLimit ?? null, [...this.#owners.grantersOf(service), owner])
      if (requestsPerSecond !== null && grantedLimit === undefined) {
        this.#holderPacing.onTold(owner, target.id, target.born, Date.now())
      }
    }
    const markLeaving = (): void => { this.#markLeaving(service, target) }
    const markSound = (place: number): void => { this.#markSound(held, place) }
    pending.settle({ granted: true, slot: { permit, target, revoked: revoke.signal, markLeaving, recordRateLimit, markSound, release } })
  }

  #onRejection (permit: string, reason: RefusalReason, retryAfter: number, standing: QueueStanding | null): void {
    const pending = this.#pending.get(permit)
    if (pending === undefined) {
      return
    }
    if (pending.demand.workClass === WorkClass.Batch && !endsBatchRequest(reason)) {
      // Makes the next check after the delay send this one again.
      pending.sentAt = Date.now() - queuedResendMilliseconds + batchRetryMilliseconds
      pending.queued = true
      this.#pendingAlarm.setBy(nextCheckOf(pending))
      return
    }
    pending.settle({ granted: false, reason, retryAfter, ...standingOf(standing) })
  }

  /** Tells the owner of the slot, if the content is in quarantine as far as is known here: all instances are told of a quarantine. */
  #markSound ({ service, permit, prefix, digest, ownerAddress }: LocalSlot, place: number): void {
    const sound = { parts: prefix, digest, place }
    if (!this.#held.has(permit) || !this.quarantine.isQuarantined(sound)) {
      return
    }
    if (ownerAddress === this.transport.address) {
      this.#owner.onSound(service, sound)
    } else {
      this.transport.send(ownerAddress, { type: PeerMessageType.SlotSound, service, sound })
    }
  }

  #release (held: LocalSlot, outcome: SlotOutcome, { isSound, place, timing }: AnswerEvidence = { isSound: false, place: 0 }): void {
    if (this.#held.delete(held.permit)) {
      const { service, ownerAddress, permit, target, prefix, digest } = held
      this.charging?.onSlotReleased(permit, outcome)
      const crash = outcome === SlotOutcome.Crashed ? { target, parts: prefix, digest, place } : null
      const sound = isSound && outcome === SlotOutcome.Stopped ? { parts: prefix, digest, place } : null
      if (outcome === SlotOutcome.Finished) {
        this.quarantine.rememberAnswered({ parts: prefix, digest })
      }
      this.#sendRelease(service, ownerAddress, permit, outcome, crash, sound, outcome === SlotOutcome.Finished ? timing : undefined)
    }
  }

  #sendRelease (service: string, owner: string, permit: string, outcome: SlotOutcome, crash: CrashReport | null, sound: SoundReport | null = null, timing?: AnswerTiming): void {
    if (owner === this.transport.address) {
      this.#owner.release(service, permit, outcome, crash, owner, sound, timing ?? null)
    } else {
      const end = outcome === SlotOutcome.NotRun ? { outcome: SlotOutcome.Stopped, isNotRun: true } : { outcome }
      this.transport.send(owner, { type: PeerMessageType.SlotRelease, service, permit, ...end, ...(crash === null ? {} : { crash }), ...(sound === null ? {} : { sound }), ...(timing === undefined ? {} : { timing }) })
    }
  }
}

/** Returns the time at which a pending request has to be checked, in milliseconds since the epoch. */
function nextCheckOf ({ sentAt, queued, retransmitted }: PendingRequest): number {
  if (queued) {
    return sentAt + queuedResendMilliseconds
  }
  return sentAt + (retransmitted ? ownerTimeoutMilliseconds : retransmitMilliseconds)
}
