/** Logs when requests of an account begin and end to be refused, and keeps the metrics of allowances. */
import type { AccountAllowances, AllowanceRefusal, AllowanceState } from '@arbutusloft/policy'
import type { GatewayMetrics } from '../metrics.js'
import { Alarm } from '../util/alarm.js'
import type { Logger } from '../util/logger.js'

/** Dependencies of {@link AllowanceWatch}. */
export interface AllowanceWatchDependencies {
  readonly allowances: Pick<AccountAllowances, 'stateOf' | 'states'>
  readonly now: () => number
  readonly metrics: GatewayMetrics
  readonly logger: Logger
}

interface Refusals {
  count: number
  /** Time of the last refusal, in milliseconds since the epoch. */
  lastAt: number
}

/** Time without a refusal after which refusals have ended. */
const endMilliseconds = 1_000
/** Number of accounts that metrics name; the others are summed. */
const maximumNamed = 20
const otherAccounts = 'others'

/** Observes refusals. */
export class AllowanceWatch {
  readonly #refused = new Map<string, Refusals>()
  readonly #named = new Set<string>()
  readonly #alarm = new Alarm(now => this.#check(now))

  constructor (private readonly dependencies: AllowanceWatchDependencies) {
    const { metrics, allowances, now } = dependencies
    metrics.onCollectAllowances(() => summarize(allowances.states(now())))
  }

  onRefused ({ account, limit, used, group, origin, retryAfter }: AllowanceRefusal): void {
    const now = Date.now()
    const { metrics, logger } = this.dependencies
    const refusals = this.#refused.get(account) ?? { count: 0, lastAt: now }
    if (refusals.count === 0) {
      logger.warn('account over its allowance', { account, limit, used, seen: group.seen, known: group.known, origin, retryAfter })
      this.#refused.set(account, refusals)
      this.#alarm.setBy(now + endMilliseconds)
    }
    refusals.count += 1
    refusals.lastAt = now
    metrics.allowanceRefusals.inc({ account: this.#labelOf(account) })
  }

  close (): void {
    this.#alarm.close()
  }

  #check (now: number): number {
    const { allowances, logger } = this.dependencies
    for (const [account, { count, lastAt }] of this.#refused) {
      if (now - lastAt >= endMilliseconds || now < lastAt) {
        this.#refused.delete(account)
        const { limit, used, group } = allowances.stateOf(account, this.dependencies.now())
        logger.info('account within its allowance again', { account, limit, used, seen: group.seen, known: group.known, refused: count })
      }
    }
    return this.#refused.size === 0 ? Infinity : now + endMilliseconds / 2
  }

  #labelOf (account: string): string {
    if (this.#named.size < maximumNamed) {
      this.#named.add(account)
    }
    return this.#named.has(account) ? account : otherAccounts
  }
}

/** Returns the limit and the use of the accounts with most requests in the window, and the sums of the others. */
function summarize (states: readonly AllowanceState[]): ReadonlyArray<{ readonly account: string, readonly limit: number, readonly used: number }> {
  const limited = states.flatMap(({ account, limit, used }) => limit === null ? [] : [{ account, limit, used }])
  const sorted = limited.sort((left, right) => right.used - left.used)
  const others = sorted.slice(maximumNamed)
  const sum = others.reduce((total, { limit, used }) => ({ account: otherAccounts, limit: total.limit + limit, used: total.used + used }), { account: otherAccounts, limit: 0, used: 0 })
  return [...sorted.slice(0, maximumNamed), ...others.length === 0 ? [] : [sum]]
}
