/** Plays a load against an admission policy. */
import type { AdmissionPolicy } from '../admission-policy.js'
import type { FleetLoad, OnlineKind, TargetLoss } from '../fleet-load.js'
import type { FleetOutcome } from '../fleet-outcome.js'
import { BatchItem } from './batch-item.js'
import { SimulatedClock } from './clock.js'
import type { Instance } from './instance.js'
import { OnlineCaller } from './online-caller.js'
import { RandomStream } from './random.js'
import { SlotDesk } from './slot-desk.js'
import type { SimulatedTarget } from './slot-desk.js'
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
  readonly #listed: Map<string, SimulatedTarget>

  constructor (private readonly load: FleetLoad, private readonly policy: AdmissionPolicy, private readonly seed: number) {
    this.#tally = new Tally(load)
    const targets = targetsOf(load)
    this.#listed = new Map(targets.map(target => [target.id, target]))
    this.#desk = new SlotDesk(policy, this.#clock, this.#tally, load, targets)
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
      const noise = this.#noiseOf(random)
      const hold = random.around(kind.holdMilliseconds, holdDeviation) * noise
      const instance = this.#instanceFor(random)
      if (!isLeftOut) {
        const noisyKind = noise === 1 ? kind : { ...kind, firstEventMilliseconds: kind.firstEventMilliseconds * noise }
        new OnlineCaller(noisyKind, hold, instance, this.#desk, this.#clock, this.#tally).attempt()
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
      const holds = Array.from({ length: batch.itemsPerJob }, () => random.around(batch.holdMilliseconds, holdDeviation) * this.#noiseOf(random))
      for (const hold of holds) {
        const item = new BatchItem(batch, hold, instance, this.#desk, this.#clock, this.#tally)
        this.#items.push(item)
        item.request()
      }
      this.#scheduleJob(random)
    })
  }

  #noiseOf (random: RandomStream): number {
    const { noise } = this.load
    return noise !== undefined && random.uniform() < noise.share ? noise.factor : 1
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

/** Returns the targets of a load; without {@link FleetLoad.zones} they are spread evenly. */
function targetsOf ({ targets, slotsOfTarget, targetSpeeds = [1], zones: zoneLoad }: FleetLoad): readonly SimulatedTarget[] {
  const zoneOfTarget = zoneLoad === undefined ? zoneOf : (index: number) => zoneOf(positionOf(index, zoneLoad.targets))
  const seen = new Map<string, number>()
  return Array.from({ length: targets }, (_, index) => {
    const zone = zoneOfTarget(index)
    const place = seen.get(zone) ?? 0
    seen.set(zone, place + 1)
    const speed = targetSpeeds[place % targetSpeeds.length] ?? 1
    return { id: `target-${index}`, address: '', zone, slots: slotsOfTarget, born: 1, softwareVersion: 'v1', leaving: false, accepting: true, speed }
  })
}

/** Returns the position of the count in which an index lies, if the counts follow each other. */
function positionOf (index: number, counts: readonly number[]): number {
  let end = 0
  return counts.findIndex(count => {
    end += count
    return index < end
  })
}

function zoneOf (index: number): string {
  return zones[index % zones.length] as string
}
