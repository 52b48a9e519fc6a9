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
import { LocalAllowance } from './local-allowance.js'
import { PermitError, PermitErrorCode, unusedPermit } from './permit.js'
import type { Permit, PermitOutcome, PermitWish } from './permit.js'

const { Ok, Err } = tsResults

/** Options of {@link PermitClient}. */
export interface PermitClientOptions {
  readonly identity: Identity
  readonly membership: Membership
  readonly links: SchedulerLinks
  /**
   * Milliseconds within which an owner must answer a request, if only that it is queued. After them an online
   * request falls back to the local limit, and a batch request fails.
   */
  readonly ownerMilliseconds?: number
}

type PermitResult = Result<Permit, PermitError>

/** A request that has neither been granted nor rejected. */
interface Waiting {
  readonly request: PermitRequest
  readonly wish: PermitWish
  /** Member name of the scheduler that received the request. */
  owner: string
  /** Fires if the owner does not answer; null once it has. */
  timer: NodeJS.Timeout | null
  readonly settle: (result: PermitResult) => void
}

/** A granted permit that has not been returned. */
interface Held {
  /** The permit as it is registered with an owner. */
  readonly described: HeldPermit
  readonly targetZone: string
  readonly revocation: AbortController
  /** Member name of the scheduler that granted the permit or where it is registered; empty if there is none. */
  owner: string
}

const defaultOwnerMilliseconds = 250
const noOwnerRetryMilliseconds = 500

/** Requests, holds and returns permits. */
export class PermitClient {
  readonly #waiting = new Map<string, Waiting>()
  readonly #held = new Map<string, Held>()
  readonly #allowance = new LocalAllowance()
  /** Cached owners by target; cleared when the instance list changes. */
  readonly #owners = new Map<string, string | null>()
  readonly #loads = new Listeners<readonly TargetLoad[]>()
  readonly #stopListening: () => void
  #counter = 0

  constructor (private readonly options: PermitClientOptions) {
    options.links.onMessage(({ message }) => { this.#onMessage(message) })
    options.links.onOpen(link => { this.#onLinkOpen(link) })
    options.links.onClose(peer => { this.#onLinkClose(peer) })
    this.#stopListening = options.membership.onChange(() => { this.#moveToOwners() })
  }

  /** Number of permits held. */
  get held (): number {
    return this.#held.size
  }

  /** Calls the listener with each load report that an owner sends. */
  onLoads (listener: (loads: readonly TargetLoad[]) => void): void {
    this.#loads.add(listener)
  }

  /**
   * Requests a permit from the target's owner and waits until it is granted or rejected. Without a reachable
   * owner an online request gets a permit under the local limit; all others fail.
   */
  async request (wish: PermitWish): Promise<PermitResult> {
    if (wish.signal?.aborted === true) {
      return Err(new PermitError(PermitErrorCode.Aborted, null, 0))
    }
    const owner = this.#ownerOf(wish.target, wish.targetZone)
    const link = owner === null ? null : this.options.links.get(owner)
    if (owner === null || link === null) {
      return this.#withoutOwner(wish)
    }
    return await this.#ask(wish, owner, link)
  }

  close (): void {
    this.#stopListening()
    for (const waiting of this.#waiting.values()) {
      this.#settle(waiting, Err(new PermitError(PermitErrorCode.Aborted, null, 0)))
    }
  }

  async #ask (wish: PermitWish, owner: string, link: Link): Promise<PermitResult> {
    return await new Promise(resolve => {
      const request = this.#createRequest(wish)
      const onAbort = (): void => {
        this.#withdraw(request.permit)
        settle(Err(new PermitError(PermitErrorCode.Aborted, null, 0)))
      }
      const settle = (result: PermitResult): void => {
        wish.signal?.removeEventListener('abort', onAbort)
        resolve(result)
      }
      const waiting: Waiting = { request, wish, owner, timer: null, settle }
      wish.signal?.addEventListener('abort', onAbort)
      this.#waiting.set(request.permit, waiting)
      this.#send(waiting, link)
    })
  }

  #createRequest (wish: PermitWish): PermitRequest {
    this.#counter += 1
    return {
      type: MessageType.PermitRequest,
      permit: `${this.options.identity.writer}.${this.#counter}`,
      target: wish.target,
      workClass: wish.workClass,
      client: wish.client,
      cost: wish.cost,
      patience: wish.patience,
      slack: wish.slack
    }
  }

  #send (waiting: Waiting, link: Link): void {
    waiting.owner = link.peer
    const limit = this.options.ownerMilliseconds ?? defaultOwnerMilliseconds
    waiting.timer = setTimeout(() => { this.#onOwnerSilent(waiting) }, limit)
    link.send(waiting.request)
  }

  #onOwnerSilent (waiting: Waiting): void {
    this.#withdraw(waiting.request.permit)
    this.#settle(waiting, this.#withoutOwner(waiting.wish))
  }

  #withoutOwner (wish: PermitWish): PermitResult {
    const holders = this.options.membership.live(MemberKind.Entry).length
    const allowed = wish.workClass === WorkClass.Online &&
      this.#allowance.tryTake(wish.target, wish.concurrency, holders)
    if (!allowed) {
      return Err(new PermitError(PermitErrorCode.NoOwner, null, noOwnerRetryMilliseconds))
    }
    const request = this.#createRequest(wish)
    return Ok(this.#hold(request, wish, null))
  }

  #onMessage (message: LinkMessage): void {
    switch (message.type) {
      case MessageType.PermitQueued:
        this.#stopTimer(this.#waiting.get(message.permit))
        break
      case MessageType.PermitGrant:
        this.#onGrant(message.permit, message.target)
        break
      case MessageType.PermitRefuse:
        this.#onRefuse(message.permit, message.reason, message.retryAfter)
        break
      case MessageType.PermitRevoke:
        this.#held.get(message.permit)?.revocation.abort()
        break
      case MessageType.LoadReport:
        this.#loads.emit(message.targets)
        break
      default:
        // Other messages are handled by other listeners of the links.
    }
  }

  #onGrant (permit: string, target: string): void {
    const waiting = this.#waiting.get(permit)
    if (waiting !== undefined) {
      this.#settle(waiting, Ok(this.#hold(waiting.request, waiting.wish, waiting.owner)))
      return
    }
    // The owner granted the permit before it received the withdrawal, so the permit is unused.
    if (!this.#held.has(permit)) {
      this.#sendReturn(permit, target, unusedPermit, null)
    }
  }

  #onRefuse (permit: string, reason: PermitRefusal, retryAfter: number): void {
    const waiting = this.#waiting.get(permit)
    if (waiting !== undefined) {
      this.#settle(waiting, Err(new PermitError(PermitErrorCode.Refused, reason, retryAfter)))
    }
  }

  /** @param owner scheduler that granted the permit, or null if it was granted under the local limit */
  #hold (request: PermitRequest, wish: PermitWish, owner: string | null): Permit {
    const { permit, target, workClass, client, cost } = request
    const revocation = new AbortController()
    const described: HeldPermit = { permit, target, workClass, client, cost }
    this.#held.set(permit, { described, targetZone: wish.targetZone, revocation, owner: owner ?? '' })
    if (owner === null) {
      this.#register([...this.#held.values()].filter(held => held.described.permit === permit))
    }
    return {
      id: permit,
      target,
      revoked: revocation.signal,
      finish: outcome => { this.#finish(permit, target, outcome, owner === null) }
    }
  }

  #finish (permit: string, target: string, outcome: PermitOutcome, local: boolean): void {
    const held = this.#held.get(permit)
    if (held === undefined) {
      return
    }
    this.#held.delete(permit)
    if (local) {
      this.#allowance.giveBack(target)
    }
    this.#sendReturn(permit, target, outcome, held)
  }

  #sendReturn (permit: string, target: string, outcome: PermitOutcome, held: Held | null): void {
    const owner = held?.owner ?? this.#ownerOf(target, null) ?? ''
    const link = this.options.links.get(owner) ?? this.options.links.all()[0]
    link?.send({ type: MessageType.PermitReturn, permit, target, ...outcome })
  }

  #withdraw (permit: string): void {
    const waiting = this.#waiting.get(permit)
    if (waiting === undefined) {
      return
    }
    this.#stopTimer(waiting)
    this.#waiting.delete(permit)
    const { target } = waiting.request
    this.options.links.get(waiting.owner)?.send({ type: MessageType.PermitWithdraw, permit, target })
  }

  #settle (waiting: Waiting, result: PermitResult): void {
    this.#stopTimer(waiting)
    this.#waiting.delete(waiting.request.permit)
    waiting.settle(result)
  }

  #stopTimer (waiting: Waiting | undefined): void {
    if (waiting !== undefined && waiting.timer !== null) {
      clearTimeout(waiting.timer)
      waiting.timer = null
    }
  }

  /** Registers all held permits of the targets that the scheduler owns, which replaces what it knew of this process. */
  #onLinkOpen (link: Link): void {
    const mine = [...this.#held.values()].filter(held => {
      return this.#ownerOf(held.described.target, held.targetZone) === link.peer
    })
    for (const held of mine) {
      held.owner = link.peer
    }
    link.send({ type: MessageType.PermitRegister, complete: true, permits: mine.map(held => held.described) })
  }

  #onLinkClose (peer: string): void {
    for (const waiting of [...this.#waiting.values()]) {
      if (waiting.owner === peer) {
        this.#waiting.delete(waiting.request.permit)
        this.#stopTimer(waiting)
        this.#settle(waiting, this.#withoutOwner(waiting.wish))
      }
    }
  }

  /** Moves held permits and waiting requests to the new owners after the instance list has changed. */
  #moveToOwners (): void {
    this.#owners.clear()
    const moved = [...this.#held.values()].filter(held => {
      return this.#ownerOf(held.described.target, held.targetZone) !== held.owner
    })
    this.#register(moved)
    for (const waiting of this.#waiting.values()) {
      const owner = this.#ownerOf(waiting.wish.target, waiting.wish.targetZone)
      const link = owner === null ? null : this.options.links.get(owner)
      if (link !== null && owner !== waiting.owner) {
        const { permit, target } = waiting.request
        this.options.links.get(waiting.owner)?.send({ type: MessageType.PermitWithdraw, permit, target })
        this.#stopTimer(waiting)
        this.#send(waiting, link)
      }
    }
  }

  /** Registers permits with the present owners of their targets; permits without a reachable owner are left out. */
  #register (held: readonly Held[]): void {
    const byOwner = new Map<string, HeldPermit[]>()
    for (const permit of held) {
      const owner = this.#ownerOf(permit.described.target, permit.targetZone)
      if (owner !== null && this.options.links.get(owner) !== null) {
        permit.owner = owner
        byOwner.set(owner, [...byOwner.get(owner) ?? [], permit.described])
      }
    }
    for (const [owner, permits] of byOwner) {
      this.options.links.get(owner)?.send({ type: MessageType.PermitRegister, complete: false, permits })
    }
  }

  /** Returns the member name of the target's owner; without a zone the target's zone on the instance list is used. */
  #ownerOf (target: string, zone: string | null): string | null {
    const known = this.#owners.get(target)
    if (known !== undefined) {
      return known
    }
    const { membership } = this.options
    const schedulers = membership.live(MemberKind.Scheduler)
    const owner = ownerOf(target, schedulers, zone ?? membership.find(target)?.zone ?? null)?.id ?? null
    this.#owners.set(target, owner)
    return owner
  }
}
