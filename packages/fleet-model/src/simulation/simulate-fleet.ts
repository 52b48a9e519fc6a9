/** Plays a load against an admission policy. */
import type { FleetTarget } from '@arbutusloft/policy'
import type { AdmissionPolicy } from '../admission-policy.js'
import type { FleetLoad, OnlineKind, TargetLoss } from '../fleet-load.js'
import type { FleetOutcome } from '../fleet-outcome.js'
import { BatchItem } from './batch-item.js'
import { SimulatedClock } from './clock.js'
import type { Instance } from './instance.js'
import { OnlineCaller } from './online-caller.js'
import { RandomStream } from './random.js'
import { SlotDesk } from './slot-desk.js'
import { Tally } from './tally.js'

const millisecondsPerSecond = 1_000
const zones = ['a', 'b', 'c'] as const
const instanceCount = 12
/** Relative standard deviation of the time for which a request holds its slot. */
const holdDeviation = 0.25
/** Milliseconds after the last arrival in which items may still finish. */
const finishingMilliseconds = 18_000
/** Milliseconds after which the list of targets shows that targets are lost, or leave. */
const listDelayMilliseconds = 3_000
const announcedListDelayMilliseconds = 400
/** Seeds of the separate streams, so that all policies get the same arrivals. */
const onlineStream = 1
const batchStream = 2

/** Returns what callers get; the same seed gives the same arrivals and durations to every policy. */
export function simulateFleet (load: FleetLoad, policy: AdmissionPolicy, seed: number): FleetOutcome {
  return new FleetSimulation(load, policy, seed).run()
}

class FleetSimulation {
  readonly #clock = new SimulatedClock()
  readonly #tally: Tally
  readonly #desk: SlotDesk
  readonly #instances: readonly Instance[] = Array.from({ length: instanceCount }, (_, index) => ({ id: `instance-${index}`, zone: zoneOf(index) }))
  readonly #items: BatchItem[] = []
  readonly #listed: Map<string, FleetTarget>

  constructor (private readonly load: FleetLoad, private readonly policy: AdmissionPolicy, private readonly seed: number) {
    this.#tally = new Tally(load)
    this.#desk = new SlotDesk(policy, this.#clock, this.#tally)
    this.#listed = new Map(Array.from({ length: load.targets }, (_, index) => {
      const id = `target-${index}`
      return [id, { id, address: '', zone: zoneOf(index), slots: load.slotsOfTarget, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }]
    }))
  }

  run (): FleetOutcome {
    const { load } = this
    this.#publishTargets()
    for (const [index, kind] of load.online.entries()) {
      this.#scheduleOnline(kind, new RandomStream(this.seed * 16 + index * 2 + onlineStream))
    }
    this.#scheduleJob(new RandomStream(this.seed * 16 + batchStream))
    for (const [index, loss] of load.losses.entries()) {
      this.#clock.after(loss.at, () => { this.#lose(loss, index) })
    }
    for (const { at, forMilliseconds, share, isHanging } of load.cuts) {
      const cut = this.#instances.slice(0, Math.round(share * this.#instances.length)).map(({ id }) => id)
      this.#clock.after(at, () => { this.#desk.cut(cut, isHanging) })
      this.#clock.after(at + forMilliseconds, () => { this.#desk.cut([], false) })
    }
    this.#clock.runUntil(load.milliseconds + finishingMilliseconds)
    for (const item of this.#items.filter(({ isFinished }) => !isFinished)) {
      this.#tally.addItem(item.arrivedAt, null)
    }
    return this.#tally.outcome()
  }

  #scheduleOnline (kind: OnlineKind, random: RandomStream): void {
    const greatest = this.load.steps.reduce((most, [, factor]) => Math.max(most, factor), 1)
    this.#clock.after(random.exponential(millisecondsPerSecond / (kind.perSecond * greatest)), () => {
      if (this.#clock.now >= this.load.milliseconds) {
        return
      }
      const factor = [...this.load.steps].reverse().find(([from]) => from <= this.#clock.now)?.[1] ?? 1
      // Arrivals are drawn at the greatest rate; the share beyond the present one is left out.
      const isLeftOut = random.uniform() * greatest >= factor
      const hold = random.around(kind.holdMilliseconds, holdDeviation)
      const instance = this.#instanceFor(random)
      if (!isLeftOut) {
        new OnlineCaller(kind, hold, instance, this.#desk, this.#clock, this.#tally).attempt()
      }
      this.#scheduleOnline(kind, random)
    })
  }

  #scheduleJob (random: RandomStream): void {
    const { batch, milliseconds } = this.load
    this.#clock.after(random.exponential(millisecondsPerSecond * batch.itemsPerJob / batch.itemsPerSecond), () => {
      if (this.#clock.now >= milliseconds) {
        return
      }
      const instance = this.#instanceFor(random)
      const holds = Array.from({ length: batch.itemsPerJob }, () => random.around(batch.holdMilliseconds, holdDeviation))
      for (const hold of holds) {
        const item = new BatchItem(batch, hold, instance, this.#desk, this.#clock, this.#tally)
        this.#items.push(item)
        item.request()
      }
      this.#scheduleJob(random)
    })
  }

  #instanceFor (random: RandomStream): Instance {
    return this.#instances[Math.floor(random.uniform() * this.#instances.length)] as Instance
  }

  #lose ({ share, forMilliseconds, isAnnounced }: TargetLoss, index: number): void {
    const { targets } = this.load
    const count = Math.max(1, Math.round(share * targets))
    const ids = Array.from({ length: count }, (_, offset) => `target-${(index * count + offset) % targets}`)
    const initial = ids.flatMap(id => this.#listed.get(id) ?? [])
    if (!isAnnounced) {
      for (const id of ids) {
        this.#desk.lose(id)
      }
    }
    this.#clock.after(isAnnounced ? announcedListDelayMilliseconds : listDelayMilliseconds, () => {
      ids.forEach(id => this.#listed.delete(id))
      this.#publishTargets()
    })
    if (Number.isFinite(forMilliseconds)) {
      this.#clock.after(forMilliseconds, () => {
        ids.forEach(id => { this.#desk.restore(id) })
        initial.forEach(target => this.#listed.set(target.id, target))
        this.#publishTargets()
      })
    }
  }

  #publishTargets (): void {
    this.#desk.apply(this.policy.setTargets([...this.#listed.values()], this.#clock.now))
  }
}

function zoneOf (index: number): string {
  return zones[index % zones.length] as string
}
