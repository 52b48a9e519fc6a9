/** Plays online requests of many holders against fleet admission, while holders are cut off from targets or targets crash; without network or clock. */
import { WorkClass } from '@arbutusloft/protocol'
import { defaultFleetAdmissionOptions, DecisionKind, FleetAdmission, SlotOutcome } from '../../src/index.js'
import type { FleetTarget, SlotDecision, SlotRequest } from '../../src/index.js'

/** How connections of a holder that is cut off end. */
export const CutKind = {
  /** They bring nothing more, and new ones are never established. */
  Hang: 'hang',
  /** All are reset, new ones at once. */
  Reset: 'reset',
  /** New ones are refused; established ones live on. */
  RefuseNew: 'refuse-new'
} as const
export type CutKind = typeof CutKind[keyof typeof CutKind]

/** What is played. Times are in milliseconds. */
export interface FleetPlayOptions {
  readonly holders: number
  readonly targets: number
  readonly slots: number
  /** Requests a second of each holder. */
  readonly rate: number
  readonly seed: number
}

/** A request of a holder, and what has become of it. */
export interface PlayedRequest {
  readonly holder: number
  readonly arrivedAt: number
  /** Time of the last grant, or null if there was none. */
  grantedAt: number | null
  /** Number of dispatches. */
  attempts: number
  isServed: boolean
  isRefused: boolean
}

/** A dispatch to a target. */
interface Dispatch {
  readonly request: PlayedRequest
  readonly permit: string
  readonly holder: number
  readonly target: number
  readonly excluded: readonly string[]
}

const holdMilliseconds = 650
/** Time after which a request without an answer is given up. */
const silenceMilliseconds = 700
const roundTripMilliseconds = 2
const tickMilliseconds = 25
const maximumAttempts = 3
const patienceMilliseconds = 750
const zones = ['a', 'b', 'c']

/** One play; {@link at} schedules disruptions before {@link run}. */
export class FleetPlay {
  readonly requests: PlayedRequest[] = []
  /** Dispatches to targets that do not answer, with the time of each. */
  readonly fruitless: Array<{ readonly at: number, readonly holder: number, readonly target: number }> = []
  readonly #fleet = new FleetAdmission(defaultFleetAdmissionOptions)
  /** Actions by time. */
  readonly #agenda = new Map<number, Array<() => void>>()
  readonly #waiting = new Map<string, { readonly request: PlayedRequest, readonly excluded: readonly string[] }>()
  readonly #dispatches = new Map<string, Dispatch>()
  readonly #gone = new Set<number>()
  #isCut: (holder: number, target: number) => boolean = () => false
  #cutKind: CutKind = CutKind.Hang
  #now = 0
  #permits = 0
  #random: () => number

  constructor (private readonly options: FleetPlayOptions) {
    this.#random = randomOf(options.seed)
    const targets: readonly FleetTarget[] = Array.from({ length: options.targets }, (_, index) => {
      return { id: `t${index}`, address: '', zone: this.zoneOf(index), slots: options.slots, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }
    })
    this.#fleet.setTargets(targets, 0)
  }

  /** Returns the availability zone of a holder or target. */
  zoneOf (index: number): string {
    return zones[index % zones.length] ?? ''
  }

  at (time: number, action: () => void): void {
    const actions = this.#agenda.get(Math.ceil(time)) ?? []
    actions.push(action)
    this.#agenda.set(Math.ceil(time), actions)
  }

  /** Cuts the given pairs from now on, in place of those that were cut before. */
  cut (isCut: (holder: number, target: number) => boolean, kind: CutKind): void {
    this.#isCut = isCut
    this.#cutKind = kind
    for (const dispatch of [...this.#dispatches.values()]) {
      if (!isCut(dispatch.holder, dispatch.target) || kind === CutKind.RefuseNew) {
        continue
      }
      this.#dispatches.delete(dispatch.permit)
      const outcome = kind === CutKind.Reset ? SlotOutcome.Crashed : SlotOutcome.Unreachable
      this.#failIn(kind === CutKind.Reset ? roundTripMilliseconds : silenceMilliseconds, dispatch, outcome)
    }
  }

  /** Ends the cut. What hangs stays so until it is given up. */
  mend (): void {
    this.#isCut = () => false
  }

  /** Targets crash: what runs on them breaks, and they refuse connections until they {@link start}. */
  crash (targets: readonly number[]): void {
    for (const target of targets) {
      this.#gone.add(target)
    }
    for (const dispatch of [...this.#dispatches.values()]) {
      if (this.#gone.has(dispatch.target)) {
        this.#dispatches.delete(dispatch.permit)
        this.#failIn(roundTripMilliseconds, dispatch, SlotOutcome.Crashed)
      }
    }
  }

  /** Crashed targets answer again. */
  start (targets: readonly number[]): void {
    for (const target of targets) {
      this.#gone.delete(target)
    }
  }

  run (milliseconds: number): void {
    for (let holder = 0; holder < this.options.holders; holder += 1) {
      this.#scheduleArrival(holder, 0)
    }
    for (; this.#now < milliseconds; this.#now += 1) {
      const actions = this.#agenda.get(this.#now) ?? []
      this.#agenda.delete(this.#now)
      // An action may add others for the same time.
      for (const action of actions) {
        action()
      }
      if (this.#now % tickMilliseconds === 0 && this.#fleet.hasWaiting) {
        this.#apply(this.#fleet.tick(this.#now))
      }
    }
  }

  /** Returns the requests of some holders that arrived in a time. */
  requestsOf (isIncluded: (holder: number) => boolean, from: number, to: number): readonly PlayedRequest[] {
    return this.requests.filter(({ holder, arrivedAt }) => isIncluded(holder) && arrivedAt >= from && arrivedAt < to)
  }

  #scheduleArrival (holder: number, after: number): void {
    const time = after - Math.log(1 - this.#random()) * 1_000 / this.options.rate
    this.at(Math.max(time, this.#now + 1), () => {
      const request: PlayedRequest = { holder, arrivedAt: this.#now, grantedAt: null, attempts: 0, isServed: false, isRefused: false }
      this.requests.push(request)
      this.#ask(request, [])
      this.#scheduleArrival(holder, time)
    })
  }

  #ask (request: PlayedRequest, excluded: readonly string[]): void {
    this.#permits += 1
    const permit = `p${this.#permits}`
    this.#waiting.set(permit, { request, excluded })
    this.#apply(this.#fleet.request(this.#slotRequest(permit, request.holder, excluded), this.#now))
  }

  #slotRequest (permit: string, holder: number, excluded: readonly string[]): SlotRequest {
    const patience = patienceMilliseconds
    const online = { workClass: WorkClass.Online, patience, spent: 0, latestReturn: 1_000, due: 0, ran: 0, sinceStart: 0 }
    return { ...online, permit, holder: `h${holder}`, zone: this.zoneOf(holder), prefix: [], digest: '', excluded, continues: null }
  }

  #apply (decisions: readonly SlotDecision[]): void {
    for (const decision of decisions) {
      const waiting = this.#waiting.get(decision.permit)
      this.#waiting.delete(decision.permit)
      if (waiting === undefined) {
        continue
      }
      if (decision.kind === DecisionKind.Grant) {
        this.#dispatch(decision.permit, Number(decision.target.slice(1)), waiting.request, waiting.excluded)
      } else {
        waiting.request.isRefused = true
      }
    }
  }

  #dispatch (permit: string, target: number, request: PlayedRequest, excluded: readonly string[]): void {
    const { holder } = request
    const dispatch = { request, permit, holder, target, excluded }
    request.grantedAt = this.#now
    request.attempts += 1
    if (this.#gone.has(target) || this.#isCut(holder, target)) {
      this.fruitless.push({ at: this.#now, holder, target })
      const isHanging = this.#isCut(holder, target) && this.#cutKind === CutKind.Hang
      this.#failIn(isHanging ? silenceMilliseconds : roundTripMilliseconds, dispatch, SlotOutcome.Unreachable)
      return
    }
    this.#dispatches.set(permit, dispatch)
    this.at(this.#now + holdMilliseconds * (0.5 + this.#random()), () => {
      if (this.#dispatches.delete(permit)) {
        request.isServed = true
        this.#apply(this.#fleet.release(permit, SlotOutcome.Finished, this.#now))
      }
    })
  }

  #failIn (delay: number, { permit, request, target, excluded }: Dispatch, outcome: SlotOutcome): void {
    this.at(this.#now + delay, () => {
      this.#apply(this.#fleet.release(permit, outcome, this.#now))
      if (request.attempts < maximumAttempts) {
        this.#ask(request, [...excluded, `t${target}`])
      }
    })
  }
}

/** Returns a generator of the same numbers from 0 to 1 for the same seed. */
function randomOf (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}
