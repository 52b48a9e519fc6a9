/** Plays loads of client accounts: requests, grants, what instances tell each other of them, and when each request reaches a target. */
import type { ChargesReport } from '@arbutusloft/policy'
import { SimulatedClock } from '../simulation/clock.js'
import { RandomStream } from '../simulation/random.js'
import type { AccountDemand, AllowanceLoad, AllowanceOutcome, Refusal } from './allowance-load.js'
import { AllowanceProcess } from './allowance-process.js'

const millisecondsPerSecond = 1_000
/** Start of the time on the clocks of instances, which differ by up to an hour. */
const epochMilliseconds = 1_700_000_000_000
const maximumClockDifference = 3_600_000
const messageMilliseconds = 3
const chargesMilliseconds = 100
const repeatMilliseconds = 300
const retransmitMilliseconds = 40
const ownerTimeoutMilliseconds = 120
/** Time until a lost or stopped instance is no longer seen, and until one that is back is. */
const detectionMilliseconds = 150
const maximumWaitMilliseconds = 600
const maximumTries = 6
/** Interval at which a holder notices that the owner of a waiting request has changed. */
const queuedCheckMilliseconds = 50
const successors = 3
/** Time for which former owners are told. */
const formerOwnerMilliseconds = 10_000
/** Length of the window of {@link AccountDemand.atMost}, by that of the allowance. */
const demandWindow = 1.1

interface Request {
  readonly permit: string
  readonly account: string
  readonly holder: AllowanceProcess
  readonly service: number
  owner: number | null
  /** Owner before, or null. */
  formerOwner: number | null
  /** Whether the owner has said that it waits. */
  isQueued: boolean
  isEnded: boolean
}

/** Plays a load; the same seed gives the same outcome. */
export function simulateAllowances (load: AllowanceLoad, seed: number): AllowanceOutcome {
  return new AllowanceSimulation(load, seed).run()
}

class AllowanceSimulation {
  readonly #clock = new SimulatedClock()
  readonly #random: RandomStream
  readonly #network: RandomStream
  /** Running process of each instance, or null. */
  readonly #processes: Array<AllowanceProcess | null> = []
  /** Messages that wait for stopped instances. */
  readonly #stopped = new Map<number, Array<() => void>>()
  /** Time from which an instance is seen by others, or no longer. */
  readonly #visible: Array<{ isUp: boolean, changedAt: number }> = []
  readonly #formerGranters = new Map<number, Map<number, number>>()
  readonly #arrivals = new Map<string, number[]>()
  readonly #sent = new Map<string, number[]>()
  readonly #refusals: Refusal[] = []
  #sequence = 0
  #chargesSent = 0
  #reportsSent = 0
  #queriesSent = 0
  #decisions = 0

  constructor (private readonly load: AllowanceLoad, seed: number) {
    this.#random = new RandomStream(seed)
    this.#network = new RandomStream(seed + 1_000_003)
  }

  run (): AllowanceOutcome {
    const { load } = this
    for (let number = 0; number < load.instances; number += 1) {
      this.#visible.push({ isUp: true, changedAt: -Infinity })
      this.#processes.push(null)
      this.#startProcess(number, -60_000)
    }
    this.#updateViews()
    for (const { at, instances, restartAfter } of load.losses) {
      this.#clock.after(at, () => { instances.forEach(number => { this.#lose(number) }) })
      if (Number.isFinite(restartAfter)) {
        this.#clock.after(at + restartAfter, () => { instances.forEach(number => { this.#startProcess(number, this.#clock.now) }) })
      }
    }
    for (const { at, instance, forMilliseconds, isCounted } of load.stops) {
      this.#clock.after(at, () => { this.#stop(instance) })
      this.#clock.after(at + forMilliseconds, () => { this.#resume(instance, isCounted ? 0 : forMilliseconds) })
    }
    for (const time of [...load.divisions, ...load.views].flatMap(({ from, until }) => [from, until])) {
      this.#clock.after(time + detectionMilliseconds, () => { this.#updateViews() })
    }
    for (const [from] of load.configurations) {
      this.#clock.after(from, () => { this.#processes.forEach(process => { process?.configure(this.#accounts) }) })
    }
    load.demands.forEach(demand => { this.#scheduleDemand(demand) })
    this.#scheduleCharges()
    this.#clock.runUntil(load.milliseconds)
    const arrivals = new Map([...this.#arrivals].map(([account, times]) => [account, times.sort((left, right) => left - right)]))
    return { arrivals, refusals: this.#refusals, chargesSent: this.#chargesSent, reportsSent: this.#reportsSent, queriesSent: this.#queriesSent, decisions: this.#decisions }
  }

  get #accounts (): AllowanceLoad['configurations'][number][1] {
    return this.load.configurations.findLast(([from]) => from <= this.#clock.now)?.[1] ?? []
  }

  #startProcess (number: number, startedAt: number): void {
    const offset = epochMilliseconds + this.#random.uniform() * maximumClockDifference
    let isBefore = startedAt < this.#clock.now
    const process = new AllowanceProcess(number, this.#sequence += 1, () => isBefore ? startedAt : this.#clock.now, offset, this.load.options)
    isBefore = false
    process.configure(this.#accounts)
    this.#processes[number] = process
    if (this.#clock.now > 0) {
      this.#setVisible(number, true)
    }
  }

  #lose (number: number): void {
    this.#processes[number] = null
    this.#stopped.delete(number)
    this.#ownersByInstance.delete(number)
    this.#formerGranters.delete(number)
    this.#setVisible(number, false)
  }

  #stop (number: number): void {
    this.#stopped.set(number, [])
    this.#setVisible(number, false)
  }

  #resume (number: number, lost: number): void {
    const inbox = this.#stopped.get(number) ?? []
    const process = this.#processes[number]
    this.#stopped.delete(number)
    if (process === undefined || process === null) {
      return
    }
    if (lost > 0) {
      process.loseTime(lost)
      this.#ask(process)
    }
    inbox.forEach(run => { run() })
    this.#setVisible(number, true)
  }

  #setVisible (number: number, isUp: boolean): void {
    this.#visible[number] = { isUp, changedAt: this.#clock.now }
    this.#clock.after(detectionMilliseconds, () => { this.#updateViews() })
  }

  /** Whether an instance is up as far as others have noticed. */
  #isSeen (number: number): boolean {
    const { isUp, changedAt } = this.#visible[number] ?? { isUp: false, changedAt: 0 }
    const isNoticed = this.#clock.now - changedAt >= detectionMilliseconds
    return isUp === isNoticed
  }

  #groupOf (number: number, at: number): number {
    const division = this.load.divisions.find(({ from, until }) => at >= from && at < until)
    return division?.groups.findIndex(group => group.includes(number)) ?? -1
  }

  /** Returns the instances that one sees. */
  #seenBy (number: number): readonly number[] {
    const at = this.#clock.now - detectionMilliseconds
    const group = this.#groupOf(number, at)
    return this.#processes.map((_, other) => other).filter(other => other === number || (this.#isSeen(other) && this.#groupOf(other, at) === group))
  }

  /** Returns the owner of a service and its successors, as an instance sees them. */
  #ownersOf (service: number, number: number, seen: readonly number[]): readonly number[] {
    const { instances } = this.load
    const first = service * Math.floor(instances / Math.max(1, this.load.services))
    const order = [...seen].sort((left, right) => (left - first + instances) % instances - (right - first + instances) % instances)
    const view = this.load.views.find(({ from, until, instances: viewers }) => this.#clock.now >= from && this.#clock.now < until && viewers.includes(number))
    return order.slice(view === undefined ? 0 : 1).slice(0, successors)
  }

  readonly #ownersByInstance = new Map<number, ReadonlyArray<readonly number[]>>()

  #updateViews (): void {
    for (const process of this.#processes) {
      if (process === null || this.#stopped.has(process.number)) {
        continue
      }
      const seen = this.#seenBy(process.number)
      process.setSeen(seen)
      this.#tellStarts(process, seen)
      const former = this.#ownersByInstance.get(process.number) ?? []
      const current = Array.from({ length: this.load.services }, (_, service) => this.#ownersOf(service, process.number, seen))
      this.#ownersByInstance.set(process.number, current)
      const granters = this.#formerGranters.get(process.number) ?? new Map<number, number>()
      this.#formerGranters.set(process.number, granters)
      former.flat().forEach(number => granters.set(number, this.#clock.now + formerOwnerMilliseconds))
      this.#tellNewOwners(process, current)
      const isGranter = current.flat().includes(process.number)
      if (isGranter && !process.isGranter && this.#clock.now > 0) {
        this.#ask(process)
      }
      process.isGranter = isGranter
    }
  }

  /** The gossip of members tells when each of them started. */
  #tellStarts (process: AllowanceProcess, seen: readonly number[]): void {
    for (const other of seen) {
      const startedAt = this.#processes[other]?.startedAt ?? this.#clock.now
      if (other !== process.number) {
        process.allowances.onStart(String(other), process.now - (this.#clock.now - startedAt))
      }
    }
  }

  #tellNewOwners (process: AllowanceProcess, owners: ReadonlyArray<readonly number[]>): void {
    const first = new Set(owners.map(([owner = 0]) => owner))
    const nameOfNumber = (number: number): string => nameOf(this.#processes[number] ?? null)
    const added = [...first].filter(number => !process.toldOwners.has(nameOfNumber(number)))
    process.toldOwners = new Set([...first].map(nameOfNumber))
    if (this.#clock.now === 0) {
      return
    }
    for (const owner of added) {
      this.#tell(process, owner)
      this.#clock.after(repeatMilliseconds, () => { this.#whenRunning(process, () => { this.#tell(process, owner) }) })
    }
  }

  #tell (process: AllowanceProcess, owner: number): void {
    const receiver = this.#processes[owner]?.identity ?? { address: String(owner), incarnation: 0 }
    for (const report of process.usageReports(receiver)) {
      this.#reportsSent += 1
      this.#send(process.number, owner, receiver => { receiver.allowances.onUsage(String(process.number), report, receiver.now) })
    }
  }

  #ask (process: AllowanceProcess): void {
    process.askedAt = this.#clock.now
    const ask = (): void => {
      const at = process.now
      for (const other of this.#grantersOf(process.number)) {
        this.#queriesSent += 1
        this.#send(process.number, other, receiver => {
          const lag = receiver.allowances.lagOf(process.identity, at, receiver.now)
          for (const report of receiver.allCharges()) {
            this.#send(other, process.number, asker => {
              asker.setClock(lag)
              asker.allowances.onCharges(String(other), report, asker.now)
            })
          }
        })
      }
    }
    ask()
    this.#clock.after(repeatMilliseconds, () => { this.#whenRunning(process, ask) })
  }

  #grantersOf (number: number): readonly number[] {
    const former = [...this.#formerGranters.get(number) ?? []].filter(([, until]) => until >= this.#clock.now).map(([other]) => other)
    return [...new Set([...this.#ownersByInstance.get(number)?.flat() ?? [], ...former])].filter(other => other !== number)
  }

  #scheduleCharges (): void {
    this.#clock.after(chargesMilliseconds, () => {
      for (const process of this.#processes) {
        if (process === null || this.#stopped.has(process.number)) {
          continue
        }
        process.recordSeen()
        if (!process.allowances.hasUnsent) {
          continue
        }
        const report = process.chargesReport()
        if (report === null) {
          continue
        }
        for (const other of this.#grantersOf(process.number)) {
          this.#chargesSent += 1
          this.#send(process.number, other, receiver => { this.#receive(receiver, process.number, report) })
        }
      }
      this.#scheduleCharges()
    })
  }

  /** Takes over charges; a process that was stopped asks once what is up to date. */
  #receive (receiver: AllowanceProcess, from: number, report: ChargesReport): void {
    if (receiver.allowances.onCharges(String(from), report, receiver.now) && this.#clock.now - receiver.askedAt > repeatMilliseconds) {
      this.#ask(receiver)
    }
  }

  #scheduleDemand (demand: AccountDemand): void {
    const highest = Math.max(...demand.steps.map(([, perSecond]) => perSecond))
    this.#clock.after(this.#random.exponential(millisecondsPerSecond / highest), () => {
      const perSecond = demand.steps.findLast(([from]) => from <= this.#clock.now)?.[1] ?? 0
      if (this.#random.uniform() * highest < perSecond && this.#maySend(demand)) {
        this.#startRequest(demand.name)
      }
      this.#scheduleDemand(demand)
    })
  }

  #maySend ({ name, atMost }: AccountDemand): boolean {
    const now = this.#clock.now
    const times = (this.#sent.get(name) ?? []).filter(at => at > now - this.load.options.windowMilliseconds * demandWindow)
    this.#sent.set(name, times)
    if (times.length + 1 > atMost) {
      return false
    }
    times.push(now)
    return true
  }

  #startRequest (account: string): void {
    // An instance takes requests once it knows others.
    const running = this.#processes.filter(process => process !== null && !this.#stopped.has(process.number) && this.#ownersByInstance.has(process.number))
    const holder = running[Math.floor(this.#random.uniform() * running.length)]
    if (holder === undefined || holder === null) {
      return
    }
    this.#sequence += 1
    const service = Math.floor(this.#random.uniform() * this.load.services)
    const request = { permit: `p${this.#sequence}`, account, holder, service, owner: null, formerOwner: null, isQueued: false, isEnded: false }
    this.#try(request, 0)
  }

  /** Sends a request to the owner, twice, and then to the next one, as a holder does without an answer. */
  #try (request: Request, tries: number): void {
    const { holder, service } = request
    if (request.isEnded) {
      return
    }
    if (tries >= maximumTries) {
      // Its client has given up.
      request.isEnded = true
      this.#withdraw({ ...request, formerOwner: request.owner })
      return
    }
    const owners = this.#ownersByInstance.get(holder.number)?.[service] ?? []
    if (request.isQueued && owners[0] === request.owner) {
      this.#clock.after(queuedCheckMilliseconds, () => { this.#whenRunning(holder, () => { this.#try(request, 0) }) })
      return
    }
    request.isQueued = false
    const owner = owners[Math.min(owners.length - 1, Math.floor(tries / 2))] ?? holder.number
    if (request.owner !== null && request.owner !== owner) {
      request.formerOwner = request.owner
      this.#withdraw(request)
    }
    request.owner = owner
    this.#send(holder.number, owner, process => { this.#decide(process, request) })
    this.#clock.after(tries % 2 === 0 ? retransmitMilliseconds : ownerTimeoutMilliseconds - retransmitMilliseconds, () => {
      this.#whenRunning(holder, () => { this.#try(request, tries + 1) })
    })
  }

  /** Takes a request back from the owner that has not answered; a grant of it that was lost is not used. */
  #withdraw ({ permit, holder, formerOwner }: Request): void {
    if (formerOwner === null) {
      return
    }
    this.#send(holder.number, formerOwner, process => {
      process.waiting.delete(permit)
      process.granted.delete(permit)
      process.allowances.refund(permit)
    })
  }

  #decide (owner: AllowanceProcess, request: Request): void {
    const { permit, account, holder } = request
    this.#decisions += 1
    const refusal = owner.request(permit, String(holder.number), account)
    if (refusal !== null) {
      this.#send(owner.number, holder.number, () => {
        if (!request.isEnded) {
          request.isEnded = true
          this.#refusals.push({ account, at: this.#clock.now, retryAfter: refusal.retryAfter })
        }
      })
      return
    }
    if (owner.granted.has(permit)) {
      this.#grant(owner, request)
    } else if (!owner.waiting.has(permit)) {
      owner.waiting.add(permit)
      const wait = this.#random.uniform() < this.load.waitingShare ? this.#random.uniform() * maximumWaitMilliseconds : 0
      this.#clock.after(wait, () => { this.#whenRunning(owner, () => { this.#grant(owner, request) }) })
    }
    if (owner.waiting.has(permit)) {
      this.#send(owner.number, holder.number, () => { request.isQueued ||= request.owner === owner.number })
    }
  }

  #grant (owner: AllowanceProcess, request: Request): void {
    if (!owner.waiting.delete(request.permit) && !owner.granted.has(request.permit)) {
      // It was withdrawn.
      return
    }
    owner.granted.add(request.permit)
    owner.allowances.onGranted(request.permit, owner.now)
    this.#send(owner.number, request.holder.number, holder => {
      if (request.isEnded || holder !== request.holder) {
        return
      }
      request.isEnded = true
      holder.usage.add(request.permit, request.account, owner.identity, holder.now)
      if (request.formerOwner !== owner.number) {
        this.#withdraw(request)
      }
      const times = this.#arrivals.get(request.account) ?? []
      this.#arrivals.set(request.account, times)
      this.#clock.after(this.#network.uniform() * messageMilliseconds, () => { times.push(this.#clock.now) })
    })
  }

  /** Runs a function at a process after the time that a message takes, unless that is lost; a message to itself is not. */
  #send (from: number, to: number, run: (receiver: AllowanceProcess) => void): void {
    const receiver = this.#processes[to]
    if (from === to) {
      if (receiver !== undefined && receiver !== null) {
        run(receiver)
      }
      return
    }
    if (this.#network.uniform() < this.load.lostShare || this.#groupOf(from, this.#clock.now) !== this.#groupOf(to, this.#clock.now)) {
      return
    }
    this.#clock.after(this.#network.uniform() * messageMilliseconds, () => {
      const current = this.#processes[to]
      if (current !== undefined && current !== null) {
        this.#whenRunning(current, () => { run(current) })
      }
    })
  }

  #whenRunning (process: AllowanceProcess, run: () => void): void {
    if (this.#processes[process.number] !== process) {
      return
    }
    const inbox = this.#stopped.get(process.number)
    if (inbox === undefined) {
      run()
    } else {
      inbox.push(run)
    }
  }
}

/** Names the process of an instance, which one that is started again in its place does not share. */
function nameOf (process: AllowanceProcess | null): string {
  return process === null ? '' : `${process.number}/${process.incarnation}`
}
