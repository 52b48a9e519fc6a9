/** Tests of the choice of targets: compared with the scoring that it replaces, on random calls. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import fc from 'fast-check'
import { defaultZoneRoutingOptions, PrefixAffinity, SlotOutcome, TargetPacing, TargetRateLimits, TargetSpeeds, ZoneRouting } from '../../src/index.js'
import type { FleetTarget, SlotRequest } from '../../src/index.js'
import { FleetSlots } from '../../src/fleet/fleet-slots.js'
import type { GrantedSlot, TargetSlots } from '../../src/fleet/fleet-slots.js'
import { TargetChoice } from '../../src/fleet/target-choice.js'
import { TargetAvailability, TargetHealth } from '../../src/fleet/target-health.js'
import { TargetIndex } from '../../src/fleet/target-index.js'
import { BusySlotsChoice } from './util/busy-slots-choice.js'

const runs = Number(process.env['FAST_CHECK_RUNS'] ?? 200)
const seed = Number(process.env['FAST_CHECK_SEED'] ?? 20_261_206)
const zones = ['a', 'b', 'c'] as const
const service = 'reply'

/** State of one service's targets, with the two choices that are compared. */
class ComparedChoices {
  readonly #health = new TargetHealth({ initialSuspensionMilliseconds: 300, maximumSuspensionMilliseconds: 2_000 })
  readonly #limits = new TargetRateLimits()
  readonly #pacing = new TargetPacing(this.#limits)
  readonly #affinity = new PrefixAffinity()
  readonly #sound = new TargetIndex()
  readonly #unsound = new Set<TargetSlots>()
  readonly #slots = new FleetSlots(target => { this.#place(target) })
  readonly #state = { slots: this.#slots, health: this.#health, pacing: this.#pacing, prefixAffinity: this.#affinity, speeds: new TargetSpeeds(), zones: new ZoneRouting(defaultZoneRoutingOptions), sound: this.#sound, unsound: this.#unsound }
  readonly #choice = new TargetChoice(this.#state)
  readonly #previous = new BusySlotsChoice(this.#state)
  readonly #held: GrantedSlot[] = []
  #targets: readonly FleetTarget[] = []
  #now = 1_000_000
  #permits = 0

  pass (milliseconds: number): void {
    this.#now += milliseconds
    for (const target of this.#targets) {
      this.#placeById(target.id)
    }
  }

  setTargets (targets: readonly FleetTarget[]): void {
    this.#targets = targets
    this.#slots.setTargets(targets)
  }

  setRateLimit (target: string, requestsPerSecond: number | null): void {
    this.#limits.observe({ service, target, born: 1, requestsPerSecond, sentAgo: 0, heardAgo: 0 }, this.#now)
    this.#placeById(target)
  }

  /** Asserts that both choose the same target, and grants the slot. */
  request (fields: Pick<SlotRequest, 'workClass' | 'zone' | 'prefix' | 'excluded' | 'continues' | 'holder'>, isOnlinePressed: boolean): void {
    this.#permits += 1
    const request: SlotRequest = { ...fields, permit: String(this.#permits), digest: '', patience: 100, spent: 0, latestReturn: 1_000, due: 0, ran: 0, sinceStart: 0 }
    const moment = { now: this.#now, isOnlinePressed }
    let chosen: TargetSlots | null = null
    for (const availability of [TargetAvailability.OnTrial, TargetAvailability.Available]) {
      const expected = this.#previous.selectTarget(request, availability, moment)
      chosen = this.#choice.select(request, availability, moment)
      assert.equal(chosen?.id, expected?.id)
    }
    if (chosen !== null) {
      const slot: GrantedSlot = { permit: request.permit, holder: request.holder, target: chosen.id, address: '', born: 1, workClass: request.workClass, prefix: request.prefix, digest: '', due: 0, ran: 0, startedAt: this.#now, grantedAt: this.#now, revoked: false }
      this.#health.onGranted(chosen.id, this.#now)
      this.#pacing.onGranted(chosen, request.permit, this.#now)
      this.#affinity.recordGrant(request.prefix, chosen.id)
      this.#slots.recordGrant(slot)
      this.#held.push(slot)
    }
  }

  release (position: number, outcome: SlotOutcome): void {
    const [slot] = this.#held.splice(position % Math.max(1, this.#held.length), 1)
    if (slot !== undefined) {
      this.#health.recordOutcome(slot.target, slot.holder, outcome, this.#now)
      this.#slots.release(slot.permit)
      this.#placeById(slot.target)
    }
  }

  #placeById (id: string): void {
    const target = this.#slots.target(id)
    if (target !== undefined) {
      this.#place(target)
    }
  }

  #place (target: TargetSlots): void {
    this.#sound.remove(target)
    this.#unsound.delete(target)
    if (target.accepting && this.#health.isSound(target.id, this.#now) && !this.#pacing.isLimited(target, this.#now)) {
      this.#sound.place(target)
    } else if (target.accepting) {
      this.#unsound.add(target)
    }
  }
}

const targetIds = Array.from({ length: 7 }, (_, index) => `target-${index}`)
const anyTarget = fc.constantFrom(...targetIds)
const anyTargets = fc.array(fc.record({
  id: anyTarget,
  zone: fc.constantFrom(...zones),
  slots: fc.integer({ min: 1, max: 4 }),
  softwareVersion: fc.constantFrom('v1', 'v1', 'v2'),
  accepting: fc.constantFrom(true, true, true, false)
}), { minLength: 1, maxLength: 7 }).map(listed => {
  return [...new Map(listed.map(target => [target.id, { ...target, address: '', born: 1, leaving: false }])).values()]
})
const anyRequest = fc.record({
  holder: fc.constantFrom('h', 'i'),
  workClass: fc.constantFrom(WorkClass.Online, WorkClass.Batch),
  zone: fc.constantFrom(...zones),
  prefix: fc.array(fc.constantFrom('p', 'q', 'r'), { maxLength: 2 }),
  excluded: fc.array(anyTarget, { maxLength: 3 }),
  continues: fc.option(fc.record({ softwareVersion: fc.constantFrom('v1', 'v2'), target: anyTarget, born: fc.constant(1) }), { nil: null, freq: 4 })
})
const outcomes = fc.constantFrom(SlotOutcome.Finished, SlotOutcome.Finished, SlotOutcome.Finished, SlotOutcome.Failed, SlotOutcome.Unreachable, SlotOutcome.Broken, SlotOutcome.Stopped)
const anyStep = fc.oneof(
  { weight: 12, arbitrary: fc.tuple(anyRequest, fc.boolean()).map(([fields, isPressed]) => (choices: ComparedChoices) => { choices.request(fields, isPressed) }) },
  { weight: 8, arbitrary: fc.tuple(fc.nat(100), outcomes).map(([position, outcome]) => (choices: ComparedChoices) => { choices.release(position, outcome) }) },
  { weight: 4, arbitrary: fc.integer({ min: 0, max: 500 }).map(milliseconds => (choices: ComparedChoices) => { choices.pass(milliseconds) }) },
  { weight: 1, arbitrary: fc.tuple(anyTarget, fc.option(fc.integer({ min: 1, max: 5 }), { nil: null })).map(([target, limit]) => (choices: ComparedChoices) => { choices.setRateLimit(target, limit) }) },
  { weight: 1, arbitrary: anyTargets.map(targets => (choices: ComparedChoices) => { choices.setTargets(targets) }) }
)

describe('TargetChoice', () => {
  it('chooses as the scoring by busy slots inside FleetAdmission did, step by step (guards against a change of behaviour by the move)', () => {
    fc.assert(fc.property(anyTargets, fc.array(anyStep, { minLength: 30, maxLength: 120 }), (targets, steps) => {
      const choices = new ComparedChoices()
      choices.setTargets(targets)
      steps.forEach(step => { step(choices) })
    }), { numRuns: runs, seed })
  })
})
