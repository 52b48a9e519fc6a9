/** The rate limits of client accounts in one process: its part as an owner of slots, as a holder, and what it shares with others. */
import { AccountAllowances, GrantedUsage } from '@arbutusloft/policy'
import type { AccountDirectory, AllowanceOptions, AllowanceState } from '@arbutusloft/policy'
import type { GatewayMetrics } from '../metrics.js'
import type { Membership } from '../peers/membership.js'
import type { PeerTransport } from '../peers/peer-socket.js'
import type { ServiceOwners } from '../permits/service-owners.js'
import type { Logger } from '../util/logger.js'
import { SteadyClock } from '../util/steady-clock.js'
import { AccountCharging } from './account-charging.js'
import { AllowanceSharing, processAt } from './allowance-sharing.js'
import { AllowanceWatch } from './allowance-watch.js'

/** Dependencies of {@link AccountLimits}. */
export interface AccountLimitsDependencies {
  readonly options: AllowanceOptions
  readonly membership: Pick<Membership, 'live' | 'self' | 'onChange' | 'incarnationOf'>
  readonly transport: PeerTransport
  readonly owners: () => Pick<ServiceOwners, 'owners' | 'granters'>
  readonly metrics: GatewayMetrics
  readonly logger: Logger
  readonly clock?: SteadyClock
}

/** Composes the parts. Without accounts, nothing is charged and nothing sent. */
export class AccountLimits {
  readonly charging: AccountCharging
  readonly #clock: SteadyClock
  readonly #allowances: AccountAllowances
  readonly #usage: GrantedUsage
  readonly #watch: AllowanceWatch
  #sharing: AllowanceSharing | null = null
  #hasAccounts = false

  constructor (private readonly dependencies: AccountLimitsDependencies) {
    const { options, membership, metrics, logger, clock = new SteadyClock() } = dependencies
    const now = (): number => clock.now()
    this.#clock = clock
    this.#allowances = new AccountAllowances(now(), options)
    this.#usage = new GrantedUsage(options.windowMilliseconds)
    this.#watch = new AllowanceWatch({ allowances: this.#allowances, now, metrics, logger })
    this.charging = new AccountCharging({
      allowances: this.#allowances,
      usage: this.#usage,
      now,
      processOf: address => processAt(address, membership),
      onRequest: () => { this.#sharing?.updateGroup() },
      onRefused: refusal => { this.#watch.onRefused(refusal) },
      onCharged: () => { this.#sharing?.onCharged() }
    })
  }

  /** Begins to share charges; called once the owners of slots are known, so that it hears of changes of the members after they do. */
  start (): void {
    this.#sharing = new AllowanceSharing({
      ...this.dependencies,
      allowances: this.#allowances,
      usage: this.#usage,
      clock: this.#clock,
      hasAccounts: () => this.#hasAccounts
    })
  }

  /** Applies the accounts of the configuration in force; null if it has none. */
  configure (accounts: AccountDirectory | null): void {
    this.#hasAccounts = accounts !== null
    this.#allowances.setAccounts(accounts)
    this.#sharing?.update()
  }

  /** Describes the state of an account at this process, which decides only while it owns slots, for operators. */
  describe (account: string): AllowanceState & { readonly owners: readonly string[] } {
    this.#sharing?.updateGroup()
    return { ...this.#allowances.stateOf(account, this.#clock.now()), owners: this.dependencies.owners().owners }
  }

  close (): void {
    this.#sharing?.close()
    this.#watch.close()
  }
}
