/** Rate and concurrency limits of clients, enforced across all entries. */
import { MemberKind } from '@arbutusloft/adapters'
import { ClientLimiter, ownerOf } from '@arbutusloft/policy'
import type { ClientAllowance } from '@arbutusloft/policy'
import { MessageType } from '@arbutusloft/protocol'
import type { ClientDemand, LimitShare } from '@arbutusloft/protocol'
import type { Plan } from '@arbutusloft/configuration'
import type { Membership, SchedulerLinks } from '@arbutusloft/daemon'
import { ApiError, ApiErrorType, ExecutionOutcome } from '../http/api-error.js'

/** Options of {@link ClientLimits}. */
export interface ClientLimitsOptions {
  readonly membership: Membership
  readonly links: SchedulerLinks
}

/** An admitted request. */
export interface Admission {
  /** Ends the request and replaces the estimate by the tokens used. Idempotent. */
  release: (usedTokens: number) => void
}

const reportIntervalMilliseconds = 1_000
const secondsPerMinute = 60

/**
 * Holds a limiter for each client that is active at this entry. Entries report each client's demand to the scheduler
 * that owns the client, which divides the plan's limits among them.
 */
export class ClientLimits {
  readonly #limiters = new Map<string, ClientLimiter>()
  readonly #timer: NodeJS.Timeout

  constructor (private readonly options: ClientLimitsOptions) {
    this.#timer = setInterval(() => { this.#reportDemand() }, reportIntervalMilliseconds)
    options.links.onMessage(({ message }) => {
      if (message.type === MessageType.LimitShare) {
        this.#onShares(message)
      }
    })
  }

  /** Admits a request, or throws a 429 error with the time to wait before a retry. */
  admit (client: string, plan: Plan, tokens: number): Admission {
    const limiter = this.#limiterOf(client, plan)
    const rejection = limiter.admit(tokens, Date.now())
    if (rejection !== null) {
      const message = `over the plan's limit of ${rejection.kind}; try again in ${rejection.retryAfterMilliseconds} ms`
      throw new ApiError(429, ApiErrorType.RateLimit, message, {
        code: 'rate_limit_exceeded',
        run: ExecutionOutcome.NotRun,
        retryAfterMilliseconds: rejection.retryAfterMilliseconds
      })
    }
    let released = false
    return {
      release: usedTokens => {
        if (!released) {
          released = true
          limiter.release(tokens, usedTokens, Date.now())
        }
      }
    }
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #limiterOf (client: string, plan: Plan): ClientLimiter {
    const now = Date.now()
    const allowance = allowanceOf(plan)
    const existing = this.#limiters.get(client)
    if (existing !== undefined) {
      existing.setAllowance(allowance, now)
      return existing
    }
    const created = new ClientLimiter(client, allowance, this.#liveEntryCount(), now)
    this.#limiters.set(client, created)
    return created
  }

  #liveEntryCount (): number {
    return this.options.membership.live(MemberKind.Entry).length
  }

  /** Reports to each scheduler the demand of the clients that it owns. */
  #reportDemand (): void {
    const now = Date.now()
    const schedulers = this.options.membership.live(MemberKind.Scheduler)
    const byOwner = new Map<string, ClientDemand[]>()
    for (const [client, limiter] of this.#limiters) {
      limiter.setEntries(this.#liveEntryCount())
      const demand = limiter.takeDemand(now)
      if (demand === null) {
        continue
      }
      const owner = ownerOf(client, schedulers, null)?.id ?? ''
      byOwner.set(owner, [...byOwner.get(owner) ?? [], demand])
    }
    for (const [owner, clients] of byOwner) {
      this.options.links.get(owner)?.send({ type: MessageType.LimitDemand, clients })
    }
  }

  #onShares (message: LimitShare): void {
    const now = Date.now()
    for (const share of message.shares) {
      this.#limiters.get(share.client)?.setShare(share, now)
    }
  }
}

function allowanceOf (plan: Plan): ClientAllowance {
  return {
    requestsPerSecond: plan.requestsPerMinute / secondsPerMinute,
    tokensPerSecond: plan.tokensPerMinute / secondsPerMinute,
    concurrency: plan.concurrency
  }
}
