/**
 * Shares what owners have charged to accounts: with their successors and other owners while there are charges, with processes that begin to own slots, and
 * with those that were stopped.
 */
import { isChargesReport, isOwnerTime, isUsageReport, maximumEntryBytes, splitToDatagrams } from '@arbutusloft/policy'
import type { AccountAllowances, AccountEntry, GrantedUsage, OwnerProcess } from '@arbutusloft/policy'
import type { Member } from '../peers/member.js'
import type { Membership } from '../peers/membership.js'
import { PeerMessageType } from '../peers/peer-messages.js'
import type { AccountChargesMessage, PeerMessage } from '../peers/peer-messages.js'
import type { PeerTransport } from '../peers/peer-socket.js'
import type { ServiceOwners } from '../permits/service-owners.js'
import { Alarm } from '../util/alarm.js'
import type { Logger } from '../util/logger.js'
import type { SteadyClock } from '../util/steady-clock.js'
import { KnownInstances } from './known-instances.js'

/** Dependencies of {@link AllowanceSharing}. */
export interface AllowanceSharingDependencies {
  readonly allowances: AccountAllowances
  readonly usage: GrantedUsage
  readonly clock: SteadyClock
  readonly membership: Pick<Membership, 'live' | 'self' | 'onChange' | 'incarnationOf'>
  readonly transport: PeerTransport
  readonly owners: () => Pick<ServiceOwners, 'owners' | 'granters'>
  /** Whether the configuration in force has accounts; nothing is sent without. */
  readonly hasAccounts: () => boolean
  readonly logger: Logger
}

/** Interval at which charges are sent while there are any. */
const chargesIntervalMilliseconds = 100
/** Time after which reports to a new owner and questions are sent again, since datagrams are lost. */
const repeatMilliseconds = 300
/** Time by which a clock has to have stood still until it is set. */
const minimumLagMilliseconds = 500

/** Sends and receives charges and reports. */
export class AllowanceSharing {
  readonly #instances = new KnownInstances()
  readonly #chargesAlarm = new Alarm(() => this.#sendCharges())
  readonly #repeatAlarm = new Alarm(() => this.#repeat())
  /** Owners that were sent a report, each with its incarnation. */
  #toldOwners: ReadonlySet<string> = new Set()
  /** Owners to which the report is sent once more. */
  readonly #toTellAgain = new Set<string>()
  /** Incarnations of the instances whose starts the allowances know. */
  readonly #incarnations = new Map<string, number>()
  /** Members at the latest look. */
  #seen: readonly Member[] = []
  #wasGranter = false
  #asksAgain = false
  /** Number of the latest question, and whether its answers have set the clock. */
  #question = 0
  #isClockSet = true

  constructor (private readonly dependencies: AllowanceSharingDependencies) {
    const { transport, membership } = dependencies
    transport.onMessage((message, sender) => { this.#onMessage(message, sender) })
    membership.onChange(() => { this.update() })
  }

  /** Takes note that members or the configuration may have changed: reports to owners that are new, and asks others once this process may become one. */
  update (): void {
    const { membership, transport, hasAccounts, owners } = this.dependencies
    this.updateGroup()
    this.#updateStarts()
    if (!hasAccounts()) {
      return
    }
    const nameOf = (address: string): string => `${address}/${membership.incarnationOf(address)}`
    const current = owners().owners
    const added = current.filter(address => !this.#toldOwners.has(nameOf(address)))
    this.#toldOwners = new Set(current.map(nameOf))
    for (const address of added) {
      this.#tell(address)
      this.#toTellAgain.add(address)
    }
    const isGranter = owners().granters.includes(transport.address)
    if (isGranter && !this.#wasGranter) {
      this.#ask()
    }
    this.#wasGranter = isGranter
    if (added.length > 0) {
      this.#repeatAlarm.setBy(Date.now() + repeatMilliseconds)
    }
  }

  /** An incarnation is the time of a start by the wall clock of its instance; the allowances take the middle of them, since single clocks may be wrong. */
  #updateStarts (): void {
    const { allowances, membership, clock, transport } = this.dependencies
    for (const { address, incarnation } of membership.live()) {
      if (address !== transport.address && this.#incarnations.get(address) !== incarnation) {
        this.#incarnations.set(address, incarnation)
        allowances.onStart(address, clock.now() - Math.max(0, Date.now() - incarnation))
      }
    }
  }

  /** Tells the allowances how many instances this one sees; called before each decision, since members are suspected at any time. */
  updateGroup (): void {
    const { allowances, membership, clock } = this.dependencies
    const live = membership.live()
    const now = clock.now()
    allowances.setGroup(this.#instances.groupOf(live, now), now)
    if (live !== this.#seen) {
      this.#seen = live
      allowances.setSeen(new Set(live.map(({ address }) => address)))
    }
    if (clock.hasJumped() && this.dependencies.hasAccounts()) {
      this.#ask()
    }
  }

  /** Has the changed charges sent within the interval. */
  onCharged (): void {
    if (this.dependencies.allowances.hasUnsent) {
      this.#chargesAlarm.setBy(Date.now() + chargesIntervalMilliseconds)
    }
  }

  close (): void {
    this.#chargesAlarm.close()
    this.#repeatAlarm.close()
  }

  #sendCharges (): number {
    const { allowances, clock, transport } = this.dependencies
    this.updateGroup()
    const now = clock.now()
    const entries = allowances.takeUnsent(maximumEntryBytes, now)
    if (entries.length > 0) {
      const message = this.#chargesMessage(entries, now)
      this.#others().forEach(address => { transport.send(address, message) })
    }
    return allowances.hasUnsent ? Date.now() + chargesIntervalMilliseconds : Infinity
  }

  #repeat (): number {
    const addresses = [...this.#toTellAgain]
    this.#toTellAgain.clear()
    addresses.forEach(address => { this.#tell(address) })
    if (this.#asksAgain) {
      this.#asksAgain = false
      this.#sendQuestion()
    }
    return Infinity
  }

  /** Tells an owner what others have granted this process. */
  #tell (address: string): void {
    const { allowances, usage, clock, membership, transport } = this.dependencies
    const now = clock.now()
    for (const report of usage.reportsFor(processAt(address, membership), now)) {
      if (address === transport.address) {
        allowances.onUsage(address, report, now)
      } else {
        transport.send(address, { type: PeerMessageType.AccountUsage, report })
      }
    }
  }

  /** Asks the other owners for all that they have charged. */
  #ask (): void {
    this.#question += 1
    this.#isClockSet = false
    this.#asksAgain = true
    this.#sendQuestion()
    this.#repeatAlarm.setBy(Date.now() + repeatMilliseconds)
  }

  #sendQuestion (): void {
    const { clock, membership, transport } = this.dependencies
    const message = { type: PeerMessageType.AccountChargesQuery, question: this.#question, incarnation: membership.self.incarnation, at: Math.round(clock.now()) } as const
    this.#others().forEach(address => { transport.send(address, message) })
  }

  #onMessage (message: PeerMessage, sender: string): void {
    const { allowances, clock, logger } = this.dependencies
    const now = clock.now()
    switch (message.type) {
      case PeerMessageType.AccountCharges:
        if (!isChargesReport(message.report)) {
          logger.warn('charges of accounts not readable', { peer: sender })
          return
        }
        this.#setClock(message)
        if (allowances.onCharges(sender, message.report, clock.now()) && !this.#asksAgain) {
          // Asks once for the reports that have waited together.
          this.#ask()
        }
        return
      case PeerMessageType.AccountUsage:
        if (!isUsageReport(message.report)) {
          logger.warn('report of granted requests not readable', { peer: sender })
          return
        }
        allowances.onUsage(sender, message.report, now)
        return
      case PeerMessageType.AccountChargesQuery:
        if (!isOwnerTime(message)) {
          logger.warn('question for charges of accounts not readable', { peer: sender })
          return
        }
        this.#answer(sender, message.question, allowances.lagOf({ address: sender, incarnation: message.incarnation }, message.at, now), now)
        break
      default:
        // Other messages are not about accounts.
    }
  }

  #answer (sender: string, question: number, lag: number, now: number): void {
    for (const entries of splitToDatagrams(this.dependencies.allowances.allCharges(now))) {
      this.dependencies.transport.send(sender, { ...this.#chargesMessage(entries, now), answer: { question, lag: Math.round(lag) } })
    }
  }

  /** Sets the clock forward by the time for which it stood still, as far as the first answer that tells of one says. */
  #setClock ({ answer }: AccountChargesMessage): void {
    if (this.#isClockSet || answer?.question !== this.#question || typeof answer.lag !== 'number' || !(answer.lag >= minimumLagMilliseconds)) {
      return
    }
    this.#isClockSet = true
    this.dependencies.clock.advance(answer.lag)
    this.dependencies.logger.info('clock of allowances set forward', { by: answer.lag })
  }

  #chargesMessage (entries: readonly AccountEntry[], now: number): AccountChargesMessage {
    return { type: PeerMessageType.AccountCharges, report: { incarnation: this.dependencies.membership.self.incarnation, at: Math.round(now), entries } }
  }

  #others (): readonly string[] {
    const { owners, transport } = this.dependencies
    return owners().granters.filter(address => address !== transport.address)
  }
}

/** Returns the latest process at an address, as far as it is known. */
export function processAt (address: string, membership: Pick<Membership, 'incarnationOf'>): OwnerProcess {
  return { address, incarnation: membership.incarnationOf(address) }
}
