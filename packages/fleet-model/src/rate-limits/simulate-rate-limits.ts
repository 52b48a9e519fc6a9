/** Plays a load on targets that name rate limits: what holders and owners tell each other, and when each request reaches its target. */
import { DecisionKind, SlotOutcome } from '@arbutusloft/policy'
import type { FleetTarget, RateLimitReport, SlotDecision, SlotGrant, SlotRequest } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { SimulatedClock } from '../simulation/clock.js'
import { RandomStream } from '../simulation/random.js'
import { PacedProcess } from './paced-process.js'
import type { RateLimitedLoad, RateLimitedOutcome, TargetArrival } from './rate-limited-load.js'

const millisecondsPerSecond = 1_000
const tickMilliseconds = 25
/** Time that a message takes at most, and a request to its target. */
const messageMilliseconds = 3
/** Mean times from a request's arrival at its target to the head of the answer and to its end. */
const headMilliseconds = 60
const onlineHoldMilliseconds = 650
const itemHoldMilliseconds = 5_000
const holdDeviation = 0.4
/** Time in which each holder reports its slots to a new owner, and from which a former owner has freed them. */
const reportMilliseconds = 300
/** Time for which the owners before a change are told what is granted. */
const formerOwnerMilliseconds = 10_000
const holderTimeoutMilliseconds = 2_500
const patienceMilliseconds = 750
const itemDueMilliseconds = 30_000
const service = 'service'
const zones = ['a', 'b', 'c']

interface Work {
  readonly permit: string
  readonly holder: number
  readonly isOnline: boolean
  owner: number
  /** Whether the request has reached the owner. */
  hasArrived: boolean
  /** Whether the owner has decided on it; the decision may be on its way. */
  isDecided: boolean
  /** Target of the granted slot, or null while it waits. */
  target: number | null
  isEnded: boolean
}

/** Plays a load; the same seed gives the same outcome. */
export function simulateRateLimits (load: RateLimitedLoad, seed: number): RateLimitedOutcome {
  return new RateLimitSimulation(load, seed).run()
}

class RateLimitSimulation {
  readonly #clock = new SimulatedClock()
  readonly #arrivalTimes: RandomStream
  readonly #durations: RandomStream
  readonly #network: RandomStream
  readonly #targets: readonly FleetTarget[]
  readonly #processes: readonly PacedProcess[]
  readonly #work = new Map<string, Work>()
  readonly #arrivals: TargetArrival[][]
  readonly #firstNamedAt: Array<number | null>
  /** Targets of online requests, by permit, that owners have granted and not yet heard of the end of. */
  readonly #grantedOnline = new Map<string, number>()
  #ownersOf: (holder: number) => readonly number[] = () => [0]
  /** Owners before the latest change, and its time. */
  #formerOwnersOf: (holder: number) => readonly number[] = () => []
  #ownersChangedAt = -Infinity
  #sequence = 0
  #onlineRequests = 0
  #onlineServed = 0
  #refusals = 0
  #refusalsBesideRoom = 0
  #itemGrantsBesideWaiting = 0

  constructor (private readonly load: RateLimitedLoad, seed: number) {
    this.#arrivalTimes = new RandomStream(seed)
    this.#durations = new RandomStream(seed + 1_000_003)
    this.#network = new RandomStream(seed + 2_000_003)
    this.#targets = Array.from({ length: load.targets }, (_, index) => {
      return { id: `t${index}`, address: '', zone: zoneOf(index), slots: load.slotsOfTarget, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }
    })
    this.#processes = Array.from({ length: load.holders }, (_, owner) => {
      return new PacedProcess(this.#targets, () => this.#clock.now, decisions => { this.#apply(owner, decisions) })
    })
    this.#arrivals = this.#targets.map(() => [])
    this.#firstNamedAt = this.#targets.map(() => null)
  }

  run (): RateLimitedOutcome {
    const { views, pauses, clockSteps, items, milliseconds } = this.load
    for (const { from, ownersOf } of views) {
      this.#clock.after(from, () => { this.#changeOwners(ownersOf) })
    }
    for (const { process, at, forMilliseconds } of pauses) {
      this.#clock.after(at, () => { this.#process(process).pause() })
      this.#clock.after(at + forMilliseconds, () => { this.#process(process).wake() })
    }
    for (const { process, at, by } of clockSteps) {
      this.#clock.after(at, () => { this.#process(process).stepClock(by) })
    }
    for (let item = 0; item < items; item += 1) {
      this.#clock.after(item, () => { this.#ask(item % this.load.holders, false) })
    }
    this.#scheduleArrival()
    this.#scheduleTick()
    this.#clock.runUntil(milliseconds)
    return {
      arrivals: this.#arrivals.map(list => [...list].sort((left, right) => left.at - right.at)),
      firstNamedAt: this.#firstNamedAt,
      onlineRequests: this.#onlineRequests,
      onlineServed: this.#onlineServed,
      refusals: this.#refusals,
      refusalsBesideRoom: this.#refusalsBesideRoom,
      itemGrantsBesideWaiting: this.#itemGrantsBesideWaiting
    }
  }

  #process (index: number): PacedProcess {
    const process = this.#processes[index]
    if (process === undefined) {
      throw new RangeError(`process ${index} of a load with ${this.#processes.length}: expected a lower index`)
    }
    return process
  }

  #scheduleArrival (): void {
    const { onlinePerSecond, steps, holders } = this.load
    const highest = Math.max(1, ...steps.map(([, factor]) => factor))
    this.#clock.after(this.#arrivalTimes.exponential(millisecondsPerSecond / (onlinePerSecond * highest)), () => {
      const [, factor] = steps.findLast(([from]) => from <= this.#clock.now) ?? [0, 1]
      if (this.#arrivalTimes.uniform() * highest < factor) {
        this.#onlineRequests += 1
        this.#ask(Math.floor(this.#arrivalTimes.uniform() * holders), true)
      }
      this.#scheduleArrival()
    })
  }

  #scheduleTick (): void {
    this.#clock.after(tickMilliseconds, () => {
      this.#processes.forEach(process => { process.tick() })
      this.#scheduleTick()
    })
  }

  #ask (holder: number, isOnline: boolean): void {
    this.#sequence += 1
    const work = { permit: `p${this.#sequence}`, holder, isOnline, owner: this.#ownerOf(holder), hasArrived: false, isDecided: false, target: null, isEnded: false }
    this.#work.set(work.permit, work)
    this.#sendRequest(work)
  }

  #sendRequest (work: Work): void {
    const { owner } = work
    work.hasArrived = false
    work.isDecided = false
    this.#send(owner, () => {
      if (!work.isEnded && work.target === null && work.owner === owner) {
        work.hasArrived = true
        this.#process(owner).decide((admission, now) => admission.request(this.#slotRequest(work, now), now))
      }
    })
  }

  #slotRequest ({ permit, holder, isOnline }: Work, now: number): SlotRequest {
    return {
      permit,
      holder: nameOf(holder),
      workClass: isOnline ? WorkClass.Online : WorkClass.Batch,
      zone: zoneOf(holder),
      prefix: [],
      digest: '',
      excluded: [],
      continues: null,
      patience: isOnline ? patienceMilliseconds : 0,
      spent: 0,
      latestReturn: isOnline ? millisecondsPerSecond : 0,
      due: isOnline ? 0 : now + itemDueMilliseconds,
      ran: 0,
      sinceStart: 0
    }
  }

  /** Applies the decisions of an owner at the holders, a message later. */
  #apply (owner: number, decisions: readonly SlotDecision[]): void {
    const decided = decisions.flatMap(decision => {
      const work = this.#work.get(decision.permit)
      return work === undefined ? [] : [{ decision, work }]
    })
    for (const { work, decision } of decided) {
      work.isDecided ||= work.owner === owner
      if (decision.kind === DecisionKind.Grant && work.isOnline) {
        this.#grantedOnline.set(work.permit, indexOf(decision.target))
      }
    }
    for (const { decision, work } of decided) {
      const isItemGrant = decision.kind === DecisionKind.Grant && !work.isOnline
      this.#itemGrantsBesideWaiting += isItemGrant && this.#hasWaitingOnline(owner) ? 1 : 0
      this.#refusalsBesideRoom += decision.kind === DecisionKind.Refuse && this.#hasRoom(owner) ? 1 : 0
      this.#send(work.holder, () => { this.#onDecision(owner, work, decision) })
    }
  }

  /** Whether an online request has reached the owner that it has not decided on. */
  #hasWaitingOnline (owner: number): boolean {
    return [...this.#work.values()].some(work => work.isOnline && work.owner === owner && work.hasArrived && !work.isDecided)
  }

  /** Whether a target of which the owner knows no limit has a slot that is free, or that batch work would give up. */
  #hasRoom (owner: number): boolean {
    const { limits } = this.#process(owner)
    const free = this.#targets.map(({ slots }) => slots)
    for (const target of this.#grantedOnline.values()) {
      free[target] = (free[target] ?? 0) - 1
    }
    return free.some((count, target) => count > 0 && limits.limitOf(`t${target}`, 1) === null)
  }

  #onDecision (owner: number, work: Work, decision: SlotDecision): void {
    switch (decision.kind) {
      case DecisionKind.Grant:
        this.#tellGrant(owner, decision)
        this.#onGrant(owner, work, decision)
        return
      case DecisionKind.Refuse:
        this.#onRefusal(work)
        return
      case DecisionKind.Revoke:
        this.#end(work, SlotOutcome.Stopped)
    }
  }

  /** An owner tells the others what it grants within a limit. */
  #tellGrant (owner: number, { permit, target }: SlotGrant): void {
    const process = this.#process(owner)
    const report = process.limits.reportOf(target, 1, process.now)
    if (report === null) {
      return
    }
    for (const other of this.#ownersOf(owner)) {
      this.#pass(owner, other, report, permit)
    }
  }

  /** Returns the owners that a process knows, and those that it knew until lately. */
  #grantersOf (index: number): ReadonlySet<number> {
    const former = this.#clock.now - this.#ownersChangedAt < formerOwnerMilliseconds ? this.#formerOwnersOf(index) : []
    return new Set([...this.#ownersOf(index), ...former])
  }

  #onGrant (owner: number, work: Work, { permit, target }: SlotGrant): void {
    if (work.isEnded || work.target !== null) {
      if (work.isEnded) {
        this.#sendRelease(owner, permit, SlotOutcome.Stopped)
      }
      return
    }
    const index = indexOf(target)
    work.target = index
    work.owner = owner
    const grantedLimit = this.#process(owner).limits.limitOf(target, 1)
    const sentAt = this.#clock.now
    this.#clock.after(this.#delay(), () => {
      this.#arrivals[index]?.push({ at: this.#clock.now, holder: work.holder, isOnline: work.isOnline })
      this.#clock.after(this.#durations.around(headMilliseconds, holdDeviation), () => { this.#onHead(work, index, grantedLimit, sentAt) })
      const hold = this.#durations.around(work.isOnline ? onlineHoldMilliseconds : itemHoldMilliseconds, holdDeviation)
      this.#clock.after(hold, () => { this.#process(work.holder).whenRunning(() => { this.#end(work, SlotOutcome.Finished) }) })
    })
  }

  #onRefusal (work: Work): void {
    if (work.target !== null || work.isEnded) {
      return
    }
    work.isEnded = true
    this.#work.delete(work.permit)
    this.#refusals += 1
  }

  #limitOf (target: number): number | null {
    const steps = this.load.limits.filter(({ at, targets: [first, end] }) => at <= this.#clock.now && target >= first && target < end)
    return steps.at(-1)?.requestsPerSecond ?? null
  }

  #onHead (work: Work, target: number, grantedLimit: number | null, sentAt: number): void {
    const requestsPerSecond = this.#limitOf(target)
    if (requestsPerSecond !== null) {
      this.#firstNamedAt[target] ??= this.#clock.now
    }
    const { holder, permit } = work
    const process = this.#process(holder)
    process.whenRunning(() => {
      const id = `t${target}`
      if (requestsPerSecond === null && grantedLimit === null && process.limits.limitOf(id, 1) === null) {
        return
      }
      const report = { service, target: id, born: 1, requestsPerSecond, sentAgo: this.#clock.now - sentAt, heardAgo: 0 }
      process.onRateLimit(report, permit)
      for (const owner of requestsPerSecond !== null && requestsPerSecond === grantedLimit ? [] : new Set([...this.#grantersOf(holder), work.owner])) {
        this.#pass(holder, owner, report, permit)
      }
    })
  }

  /** Passes a report on, which may be late or lost. */
  #pass (from: number, to: number, report: RateLimitReport, permit: string | null): void {
    const { lostShare, maximumDelay } = this.load.exchange
    if (from === to || this.#network.uniform() < lostShare) {
      return
    }
    this.#clock.after(this.#delay() + this.#network.uniform() * maximumDelay, () => {
      this.#process(to).whenRunning(() => { this.#process(to).onRateLimit(report, permit) })
    })
  }

  #end (work: Work, outcome: SlotOutcome): void {
    if (work.isEnded || work.target === null) {
      return
    }
    work.isEnded = true
    this.#work.delete(work.permit)
    this.#onlineServed += work.isOnline && outcome === SlotOutcome.Finished ? 1 : 0
    this.#sendRelease(work.owner, work.permit, outcome)
    if (!work.isOnline) {
      this.#ask(work.holder, false)
    }
  }

  #sendRelease (owner: number, permit: string, outcome: SlotOutcome): void {
    this.#send(owner, () => {
      this.#grantedOnline.delete(permit)
      this.#process(owner).decide((admission, now) => admission.release(permit, outcome, now))
    })
  }

  /** Holders tell new owners the limits that they know, ask them again, and report what they hold; former owners free it after a while. */
  #changeOwners (ownersOf: (holder: number) => readonly number[]): void {
    const former = this.#ownersOf
    this.#ownersOf = ownersOf
    this.#formerOwnersOf = former
    this.#ownersChangedAt = this.#clock.now
    for (let holder = 0; holder < this.load.holders; holder += 1) {
      this.#process(holder).whenRunning(() => { this.#onOwnersChanged(holder, former(holder), ownersOf(holder)) })
    }
  }

  #onOwnersChanged (holder: number, former: readonly number[], owners: readonly number[]): void {
    const process = this.#process(holder)
    for (const owner of owners.filter(other => !former.includes(other))) {
      for (const target of this.#arrivals.keys()) {
        const report = process.limits.reportOf(`t${target}`, 1, process.now)
        if (report !== null) {
          this.#pass(holder, owner, report, null)
        }
      }
    }
    const [previous = 0] = former
    const [next = 0] = owners
    if (previous === next) {
      return
    }
    for (const work of [...this.#work.values()].filter(other => other.holder === holder && other.target === null)) {
      this.#send(previous, () => { this.#process(previous).decide(admission => { admission.withdraw(work.permit); return [] }) })
      work.owner = next
      this.#sendRequest(work)
    }
    this.#clock.after(this.#network.uniform() * reportMilliseconds, () => { this.#report(holder, next) })
    this.#clock.after(holderTimeoutMilliseconds, () => {
      this.#process(previous).whenRunning(() => {
        if (this.#ownerOf(holder) !== previous) {
          this.#process(previous).decide((admission, now) => admission.removeHolder(nameOf(holder), now))
        }
      })
    })
  }

  #report (holder: number, owner: number): void {
    const held = [...this.#work.values()].filter(work => work.holder === holder && work.target !== null)
    for (const work of held) {
      work.owner = owner
    }
    const slots = held.map(({ permit, target, isOnline }) => {
      return { permit, target: `t${target}`, workClass: isOnline ? WorkClass.Online : WorkClass.Batch, due: 0, ran: 0 }
    })
    this.#send(owner, () => { this.#process(owner).decide((admission, now) => admission.synchronize(nameOf(holder), slots, now)) })
  }

  #ownerOf (holder: number): number {
    return this.#ownersOf(holder)[0] ?? holder
  }

  /** Runs a function at a process after the time that a message takes, once the process runs. */
  #send (to: number, run: () => void): void {
    this.#clock.after(this.#delay(), () => { this.#process(to).whenRunning(run) })
  }

  #delay (): number {
    return this.#network.uniform() * messageMilliseconds
  }
}

function nameOf (holder: number): string {
  return `h${holder}`
}

function indexOf (target: string): number {
  return Number(target.slice(1))
}

function zoneOf (index: number): string {
  return zones[index % zones.length] as string
}
