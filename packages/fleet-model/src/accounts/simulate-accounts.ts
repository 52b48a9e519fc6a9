/** Plays requests of client accounts against admission control, with one return of each caller that is refused. */
import { DecisionKind, FleetAdmission, SlotOutcome } from '@arbutusloft/policy'
import type { FleetTarget, HeldSlot, SlotDecision } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { SimulatedClock } from '../simulation/clock.js'
import { RandomStream } from '../simulation/random.js'
import type { AccountLoad, AccountRequest, LoadAccount } from './account-load.js'

const millisecondsPerSecond = 1_000
const tickMilliseconds = 25
/** Relative standard deviation of the time for which a request holds its slot. */
const holdDeviation = 0.4
const zones = ['a', 'b', 'c', 'd'] as const
const holders = 61
const maximumAttempts = 2
/** Longest time after which a refused caller comes back. */
const latestReturnMilliseconds = 600
const roundTripMilliseconds = 6

/** A request that waits or holds a slot. */
interface Attempt {
  readonly request: AccountRequest
  readonly account: LoadAccount
  readonly holder: number
  readonly hold: number
  readonly attempts: number
  target: string | null
}

/** Returns the requests in the order of their arrival; the same seed gives the same arrivals and durations whatever the order of service. */
export function simulateAccounts (load: AccountLoad, seed: number): readonly AccountRequest[] {
  return new AccountSimulation(load, seed).run()
}

class AccountSimulation {
  readonly #clock = new SimulatedClock()
  readonly #requests: AccountRequest[] = []
  readonly #attempts = new Map<string, Attempt>()
  readonly #targets: readonly FleetTarget[]
  #fleet: FleetAdmission
  #sequence = 0

  constructor (private readonly load: AccountLoad, private readonly seed: number) {
    this.#targets = Array.from({ length: load.targets }, (_, index) => {
      return { id: `t${index}`, address: '', zone: zoneOf(index), slots: load.slotsOfTarget, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }
    })
    this.#fleet = this.#createFleet()
  }

  run (): readonly AccountRequest[] {
    const { accounts, milliseconds, takeovers } = this.load
    for (const [index, account] of accounts.entries()) {
      this.#scheduleArrival(account, new RandomStream(this.seed * 1_009 + index))
    }
    takeovers.forEach(at => { this.#clock.after(at, () => { this.#takeOver() }) })
    this.#scheduleTick()
    this.#clock.runUntil(milliseconds)
    return this.#requests
  }

  #createFleet (): FleetAdmission {
    const fleet = new FleetAdmission()
    fleet.setTargets(this.#targets, this.#clock.now)
    return fleet
  }

  /** Replaces the owner: holders report what they hold, and send what waits again. */
  #takeOver (): void {
    this.#fleet = this.#createFleet()
    const attempts = [...this.#attempts]
    for (let holder = 0; holder < holders; holder += 1) {
      const held = attempts.filter(([, attempt]) => attempt.holder === holder && attempt.target !== null)
      this.#apply(this.#fleet.synchronize(nameOf(holder), held.map(([permit, attempt]) => this.#heldSlot(permit, attempt)), this.#clock.now))
    }
    for (const [permit] of attempts.filter(([, { target }]) => target === null)) {
      this.#send(permit)
    }
  }

  #heldSlot (permit: string, { target, account }: Attempt): HeldSlot {
    return { permit, target: target ?? '', workClass: WorkClass.Online, due: 0, ran: 0, ...(this.load.namesAccounts ? { account: account.name, tokens: account.tokens } : {}) }
  }

  #scheduleArrival (account: LoadAccount, random: RandomStream): void {
    const { steps, floods } = this.load
    const greatest = Math.max(1, ...steps.map(([, factor]) => factor)) * Math.max(1, ...floods.filter(flood => flood.account === account.name).map(({ factor }) => factor))
    this.#clock.after(random.exponential(millisecondsPerSecond / (account.perSecond * greatest)), () => {
      // Arrivals are drawn at the greatest rate; the share beyond the present one is left out.
      const isArrival = random.uniform() * greatest < this.#factorOf(account)
      const hold = random.around(this.load.holdMilliseconds, holdDeviation)
      const holder = Math.floor(random.uniform() * holders)
      if (isArrival) {
        const request = { account: account.name, arrivedAt: this.#clock.now, attemptedAt: this.#clock.now, grantedAt: null, refusals: 0 }
        this.#requests.push(request)
        this.#ask({ request, account, holder, hold, attempts: 1, target: null })
      }
      this.#scheduleArrival(account, random)
    })
  }

  #factorOf (account: LoadAccount): number {
    const { now } = this.#clock
    const [, factor] = this.load.steps.findLast(([from]) => from <= now) ?? [0, 1]
    const flood = this.load.floods.find(({ account: name, from, to }) => name === account.name && from <= now && now < to)
    return factor * (flood?.factor ?? 1)
  }

  #ask (attempt: Attempt): void {
    this.#sequence += 1
    const permit = `p${this.#sequence}`
    this.#attempts.set(permit, attempt)
    this.#send(permit)
  }

  #send (permit: string): void {
    const attempt = this.#attempts.get(permit)
    if (attempt === undefined) {
      return
    }
    const { account: { name, rank, tokens }, holder, attempts, request } = attempt
    const { now } = this.#clock
    this.#apply(this.#fleet.request({
      permit,
      holder: nameOf(holder),
      workClass: WorkClass.Online,
      zone: zoneOf(holder),
      prefix: [],
      digest: '',
      excluded: [],
      continues: null,
      patience: this.load.patienceMilliseconds,
      spent: attempts > 1 ? now - request.arrivedAt : 0,
      latestReturn: latestReturnMilliseconds,
      due: 0,
      ran: 0,
      sinceStart: 0,
      ...(this.load.namesAccounts ? { caller: { account: name, rank, tokens, isCounted: attempts > 1 } } : {})
    }, now))
  }

  #apply (decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      const { permit } = decision
      const attempt = this.#attempts.get(permit)
      if (attempt === undefined) {
        continue
      }
      if (decision.kind === DecisionKind.Grant) {
        this.#onGranted(permit, attempt, decision.target)
      } else if (decision.kind === DecisionKind.Refuse) {
        this.#onRefused(permit, attempt, decision.retryAfter)
      }
    }
  }

  #onGranted (permit: string, attempt: Attempt, target: string): void {
    if (attempt.target !== null) {
      return
    }
    attempt.target = target
    attempt.request.grantedAt = this.#clock.now
    this.#clock.after(attempt.hold, () => {
      this.#attempts.delete(permit)
      this.#apply(this.#fleet.release(permit, SlotOutcome.Finished, this.#clock.now))
    })
  }

  #onRefused (permit: string, attempt: Attempt, retryAfter: number): void {
    this.#attempts.delete(permit)
    attempt.request.refusals += 1
    if (attempt.attempts < maximumAttempts) {
      this.#clock.after(Math.min(retryAfter, latestReturnMilliseconds) + roundTripMilliseconds, () => {
        attempt.request.attemptedAt = this.#clock.now
        this.#ask({ ...attempt, attempts: attempt.attempts + 1, target: null })
      })
    }
  }

  #scheduleTick (): void {
    this.#clock.after(tickMilliseconds, () => {
      this.#apply(this.#fleet.tick(this.#clock.now))
      this.#scheduleTick()
    })
  }
}

function zoneOf (index: number): string {
  return zones[index % zones.length] as string
}

function nameOf (holder: number): string {
  return `h${holder}`
}
