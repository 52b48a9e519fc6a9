/**
 * The client side of admission control: requests permits from the schedulers that own the targets, and
 * registers the held permits with the new owner when a target's owner changes.
 */
import { MemberKind } from '@arbutusloft/adapters'
import { ownerOf } from '@arbutusloft/policy'
import { MessageType, WorkClass } from '@arbutusloft/protocol'
import type { HeldPermit, LinkMessage, PermitRequest, TargetLoad, PermitRefusal } from '@arbutusloft/protocol'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import type { Identity } from '../identity.js'
import type { Link } from '../links/link.js'
import type { SchedulerLinks } from '../links/scheduler-links.js'
import type { Membership } from '../membership/membership.js'
import { Listeners } from '../util/listeners.js'
import { LocalConcurrencyLimit } from './local-concurrency-limit.js'
import { PermitError, PermitErrorCode, emptyPermitOutcome } from './permit.js'
import type { Permit, PermitOutcome, PermitRequestOptions } from './permit.js'

const { Ok, Err } = tsResults

/** Options of {@link PermitClient}. */
export interface PermitClientOptions {
  readonly identity: Identity
  readonly membership: Membership
  readonly links: SchedulerLinks
  /**
   * Milliseconds within which an owner must grant, reject or queue a request. After this timeout an online request
   * falls back to the local limit, and a batch request fails.
   */
  readonly ownerTimeoutMilliseconds?: number
}

type PermitResult = Result<Permit, PermitError>

/** A request that has neither been granted nor rejected. */
interface WaitingRequest {
  readonly request: PermitRequest
  readonly options: PermitRequestOptions
  /** Member name of the scheduler that received the request. */
  owner: string
  /** Fires if the owner does not answer; null once it has. */
  timer: NodeJS.Timeout | null
  readonly settle: (result: PermitResult) => void
}

/** A granted permit that has not been returned. */
interface HeldPermitState {
  /** The permit as it is registered with an owner. */
  readonly descriptor: HeldPermit
  readonly targetZone: string
  readonly revocation: AbortController
  /** Member name of the scheduler that granted the permit or where it is registered; empty if there is none. */
  owner: string
}

const defaultOwnerTimeoutMilliseconds = 250
const noOwnerRetryMilliseconds = 500

/** Requests, holds and returns permits. */
export class PermitClient {
  readonly #waitingRequests = new Map<string, WaitingRequest>()
  readonly #heldPermits = new Map<string, HeldPermitState>()
  readonly #localLimit = new LocalConcurrencyLimit()
  /** Cached owners by target; cleared when the instance list changes. */
  readonly #ownersByTarget = new Map<string, string | null>()
  readonly #loadListeners = new Listeners<readonly TargetLoad[]>()
  readonly #stopListening: () => void
  #requestCounter = 0

  constructor (private readonly options: PermitClientOptions) {
    options.links.onMessage(({ message }) => { this.#onMessage(message) })
    options.links.onOpen(link => { this.#onLinkOpen(link) })
    options.links.onClose(peer => { this.#onLinkClose(peer) })
    this.#stopListening = options.membership.onChange(() => { this.#moveToNewOwners() })
  }

  /** Number of permits held. */
  get held (): number {
    return this.#heldPermits.size
  }

  /** Calls the listener with each load report that an owner sends. */
  onLoads (listener: (loads: readonly TargetLoad[]) => void): void {
    this.#loadListeners.add(listener)
  }

  /**
   * Requests a permit from the target's owner and waits until it is granted or rejected. Without a reachable
   * owner an online request gets a permit if the local limit has a free slot; all others fail.
   */
  async request (options: PermitRequestOptions): Promise<PermitResult> {
    if (options.signal?.aborted === true) {
      return Err(new PermitError(PermitErrorCode.Aborted, null, 0))
    }
    const owner = this.#ownerOf(options.target, options.targetZone)
    const link = owner === null ? null : this.options.links.get(owner)
    if (owner === null || link === null) {
      return this.#tryGrantLocally(options)
    }
    return await this.#requestFromOwner(options, owner, link)
  }

  close (): void {
    this.#stopListening()
    for (const waiting of this.#waitingRequests.values()) {
      this.#settleRequest(waiting, Err(new PermitError(PermitErrorCode.Aborted, null, 0)))
    }
  }

  async #requestFromOwner (options: PermitRequestOptions, owner: string, link: Link): Promise<PermitResult> {
    return await new Promise(resolve => {
      const request = this.#createRequest(options)
      const onAbort = (): void => {
        this.#withdrawRequest(request.permit)
        settle(Err(new PermitError(PermitErrorCode.Aborted, null, 0)))
      }
      const settle = (result: PermitResult): void => {
        options.signal?.removeEventListener('abort', onAbort)
        resolve(result)
      }
      const waiting: WaitingRequest = { request, options, owner, timer: null, settle }
      options.signal?.addEventListener('abort', onAbort)
      this.#waitingRequests.set(request.permit, waiting)
      this.#sendRequest(waiting, link)
    })
  }

  #createRequest (options: PermitRequestOptions): PermitRequest {
    this.#requestCounter += 1
    return {
      type: MessageType.PermitRequest,
      permit: `${this.options.identity.writer}.${this.#requestCounter}`,
      target: options.target,
      workClass: options.workClass,
      client: options.client,
      cost: options.cost,
      patience: options.maximumWaitMilliseconds,
      slack: options.slackMilliseconds
    }
  }

  #sendRequest (waiting: WaitingRequest, link: Link): void {
    waiting.owner = link.peer
    const timeoutMilliseconds = this.options.ownerTimeoutMilliseconds ?? defaultOwnerTimeoutMilliseconds
    waiting.timer = setTimeout(() => { this.#onOwnerTimeout(waiting) }, timeoutMilliseconds)
    link.send(waiting.request)
  }

  /** Falls back to the local limit for a request that the owner did not answer. */
  #onOwnerTimeout (waiting: WaitingRequest): void {
    this.#withdrawRequest(waiting.request.permit)
    this.#settleRequest(waiting, this.#tryGrantLocally(waiting.options))
  }

  #tryGrantLocally (options: PermitRequestOptions): PermitResult {
    const entries = this.options.membership.live(MemberKind.Entry).length
    const allowed = options.workClass === WorkClass.Online &&
      this.#localLimit.tryAcquire(options.target, options.concurrency, entries)
    if (!allowed) {
      return Err(new PermitError(PermitErrorCode.NoOwner, null, noOwnerRetryMilliseconds))
    }
    const request = this.#createRequest(options)
    return Ok(this.#holdPermit(request, options, null))
  }

  #onMessage (message: LinkMessage): void {
    switch (message.type) {
      case MessageType.PermitQueued:
        this.#stopTimer(this.#waitingRequests.get(message.permit))
        break
      case MessageType.PermitGrant:
        this.#onGrant(message.permit, message.target)
        break
      case MessageType.PermitRefuse:
        this.#onReject(message.permit, message.reason, message.retryAfter)
        break
      case MessageType.PermitRevoke:
        this.#heldPermits.get(message.permit)?.revocation.abort()
        break
      case MessageType.LoadReport:
        this.#loadListeners.emit(message.targets)
        break
      default:
        // Other messages are handled by other listeners of the links.
    }
  }

  #onGrant (permit: string, target: string): void {
    const waiting = this.#waitingRequests.get(permit)
    if (waiting !== undefined) {
      this.#settleRequest(waiting, Ok(this.#holdPermit(waiting.request, waiting.options, waiting.owner)))
      return
    }
    // The owner granted the permit before it received the withdrawal, so the permit is unused.
    if (!this.#heldPermits.has(permit)) {
      this.#sendReturn(permit, target, emptyPermitOutcome, null)
    }
  }

  #onReject (permit: string, reason: PermitRefusal, retryAfter: number): void {
    const waiting = this.#waitingRequests.get(permit)
    if (waiting !== undefined) {
      this.#settleRequest(waiting, Err(new PermitError(PermitErrorCode.Rejected, reason, retryAfter)))
    }
  }

  /** @param owner scheduler that granted the permit, or null if it was granted under the local limit */
  #holdPermit (request: PermitRequest, options: PermitRequestOptions, owner: string | null): Permit {
    const { permit, target, workClass, client, cost } = request
    const revocation = new AbortController()
    const descriptor: HeldPermit = { permit, target, workClass, client, cost }
    this.#heldPermits.set(permit, { descriptor, targetZone: options.targetZone, revocation, owner: owner ?? '' })
    if (owner === null) {
      this.#registerPermits([...this.#heldPermits.values()].filter(held => held.descriptor.permit === permit))
    }
    return {
      id: permit,
      target,
      revoked: revocation.signal,
      finish: outcome => { this.#finishPermit(permit, target, outcome, owner === null) }
    }
  }

  #finishPermit (permit: string, target: string, outcome: PermitOutcome, grantedLocally: boolean): void {
    const held = this.#heldPermits.get(permit)
    if (held === undefined) {
      return
    }
    this.#heldPermits.delete(permit)
    if (grantedLocally) {
      this.#localLimit.release(target)
    }
    this.#sendReturn(permit, target, outcome, held)
  }

  #sendReturn (permit: string, target: string, outcome: PermitOutcome, held: HeldPermitState | null): void {
    const owner = held?.owner ?? this.#ownerOf(target, null) ?? ''
    const link = this.options.links.get(owner) ?? this.options.links.all()[0]
    link?.send({ type: MessageType.PermitReturn, permit, target, ...outcome })
  }

  #withdrawRequest (permit: string): void {
    const waiting = this.#waitingRequests.get(permit)
    if (waiting === undefined) {
      return
    }
    this.#stopTimer(waiting)
    this.#waitingRequests.delete(permit)
    const { target } = waiting.request
    this.options.links.get(waiting.owner)?.send({ type: MessageType.PermitWithdraw, permit, target })
  }

  #settleRequest (waiting: WaitingRequest, result: PermitResult): void {
    this.#stopTimer(waiting)
    this.#waitingRequests.delete(waiting.request.permit)
    waiting.settle(result)
  }

  #stopTimer (waiting: WaitingRequest | undefined): void {
    if (waiting !== undefined && waiting.timer !== null) {
      clearTimeout(waiting.timer)
      waiting.timer = null
    }
  }

  /** Registers all held permits of the targets that the scheduler owns, which replaces what it knew of this process. */
  #onLinkOpen (link: Link): void {
    const ownedByPeer = [...this.#heldPermits.values()].filter(held => {
      return this.#ownerOf(held.descriptor.target, held.targetZone) === link.peer
    })
    for (const held of ownedByPeer) {
      held.owner = link.peer
    }
    link.send({ type: MessageType.PermitRegister, complete: true, permits: ownedByPeer.map(held => held.descriptor) })
  }

  /** Falls back to the local limit for the waiting requests of an owner whose link closed. */
  #onLinkClose (peer: string): void {
    for (const waiting of [...this.#waitingRequests.values()]) {
      if (waiting.owner === peer) {
        this.#waitingRequests.delete(waiting.request.permit)
        this.#stopTimer(waiting)
        this.#settleRequest(waiting, this.#tryGrantLocally(waiting.options))
      }
    }
  }

  /** Moves held permits and waiting requests to the new owners after the instance list has changed. */
  #moveToNewOwners (): void {
    this.#ownersByTarget.clear()
    const moved = [...this.#heldPermits.values()].filter(held => {
      return this.#ownerOf(held.descriptor.target, held.targetZone) !== held.owner
    })
    this.#registerPermits(moved)
    for (const waiting of this.#waitingRequests.values()) {
      const owner = this.#ownerOf(waiting.options.target, waiting.options.targetZone)
      const link = owner === null ? null : this.options.links.get(owner)
      if (link !== null && owner !== waiting.owner) {
        const { permit, target } = waiting.request
        this.options.links.get(waiting.owner)?.send({ type: MessageType.PermitWithdraw, permit, target })
        this.#stopTimer(waiting)
        this.#sendRequest(waiting, link)
      }
    }
  }

  /** Registers permits with the present owners of their targets; permits without a reachable owner are left out. */
  #registerPermits (held: readonly HeldPermitState[]): void {
    const byOwner = new Map<string, HeldPermit[]>()
    for (const permit of held) {
      const owner = this.#ownerOf(permit.descriptor.target, permit.targetZone)
      if (owner !== null && this.options.links.get(owner) !== null) {
        permit.owner = owner
        byOwner.set(owner, [...byOwner.get(owner) ?? [], permit.descriptor])
      }
    }
    for (const [owner, permits] of byOwner) {
      this.options.links.get(owner)?.send({ type: MessageType.PermitRegister, complete: false, permits })
    }
  }

  /** Returns the member name of the target's owner; without a zone the target's zone on the instance list is used. */
  #ownerOf (target: string, zone: string | null): string | null {
    const known = this.#ownersByTarget.get(target)
    if (known !== undefined) {
      return known
    }
    const { membership } = this.options
    const schedulers = membership.live(MemberKind.Scheduler)
    const owner = ownerOf(target, schedulers, zone ?? membership.find(target)?.zone ?? null)?.id ?? null
    this.#ownersByTarget.set(target, owner)
    return owner
  }
}
