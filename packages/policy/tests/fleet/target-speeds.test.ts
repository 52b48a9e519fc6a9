/** Tests of the choice of targets of unequal speed, and of the times that messages name. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { DecisionKind, FleetAdmission, receivedTiming, SlotOutcome } from '../../src/index.js'
import type { AnswerTiming, FleetTarget, SlotRequest } from '../../src/index.js'

const speedOf = new Map([['slow', 0.7], ['other-slow', 0.7], ['fast', 1.7]])

function targetsOf (born = 1): readonly FleetTarget[] {
  return [...speedOf.keys()].map(id => ({ id, address: id, zone: 'a', slots: 8, born, softwareVersion: 'v1', leaving: false, accepting: true }))
}

/** A fleet with targets of unequal speed, and what is granted. */
class UnequalFleet {
  readonly admission = new FleetAdmission()
  #permits = 0
  now = 1_000

  constructor () {
    this.admission.setTargets(targetsOf(), this.now)
  }

  grant (overrides: Partial<SlotRequest> = {}): { readonly permit: string, readonly target: string } {
    this.#permits += 1
    const permit = String(this.#permits)
    const request = { permit, holder: 'h', workClass: WorkClass.Online, zone: 'a', prefix: [], digest: '', excluded: [], continues: null, patience: 200, spent: 0, latestReturn: 1_000, due: 0, ran: 0, sinceStart: 0, ...overrides }
    const [decision] = this.admission.request(request, this.now)
    assert.ok(decision?.kind === DecisionKind.Grant)
    return { permit, target: decision.target }
  }

  finish ({ permit, target }: { readonly permit: string, readonly target: string }, hasTiming = true): void {
    this.now += 5
    const speed = speedOf.get(target) ?? 1
    if (hasTiming) {
      this.admission.recordTiming(permit, { firstEvent: 25 / speed, betweenEvents: 24 / speed }, this.now)
    }
    this.admission.release(permit, SlotOutcome.Finished, this.now)
  }

  /** Runs requests on all targets in turn. */
  learn (hasTiming = true): void {
    for (let round = 0; round < 20; round += 1) {
      for (const id of speedOf.keys()) {
        this.now += 30
        this.finish(this.grant({ excluded: [...speedOf.keys()].filter(other => other !== id) }), hasTiming)
      }
    }
    this.now += 300
  }
}

describe('FleetAdmission on targets of unequal speed', () => {
  it('sends online requests and items to the fast target although slow ones are less busy', () => {
    for (const workClass of [WorkClass.Online, WorkClass.Batch]) {
      const fleet = new UnequalFleet()
      fleet.learn()
      const granted = Array.from({ length: 6 }, () => fleet.grant({ workClass, due: 50_000 }).target)
      assert.deepEqual(granted, Array.from({ length: 6 }, () => 'fast'), workClass)
      // They are served elsewhere once it is full.
      assert.equal(new Set(Array.from({ length: 10 }, () => fleet.grant({ workClass, due: 50_000 }).target)).size, 3)
    }
  })

  it('chooses by slots in use without reports, as from holders of earlier builds', () => {
    const fleet = new UnequalFleet()
    fleet.learn(false)
    assert.deepEqual(Array.from({ length: 6 }, () => fleet.grant().target).sort(), ['fast', 'fast', 'other-slow', 'other-slow', 'slow', 'slow'])
  })

  it('forgets the speeds of targets that have started again', () => {
    const fleet = new UnequalFleet()
    fleet.learn()
    fleet.admission.setTargets(targetsOf(2), fleet.now)
    fleet.now += 300
    assert.deepEqual(Array.from({ length: 3 }, () => fleet.grant().target).sort(), ['fast', 'other-slow', 'slow'])
  })

  /** Runs requests on all targets in turn, whose first events come after what the function returns, and asserts that they are chosen by slots. */
  function assertEqualWith (prefixOf: (index: number, round: number) => readonly string[], firstEventOf: (index: number, isCached: boolean) => number): void {
    const fleet = new UnequalFleet()
    for (let round = 0; round < 60; round += 1) {
      for (const [index, id] of [...speedOf.keys()].entries()) {
        const prefix = prefixOf(index, round)
        const slot = fleet.grant({ prefix, excluded: [...speedOf.keys()].filter(other => other !== id) })
        fleet.admission.recordTiming(slot.permit, { firstEvent: firstEventOf(index, prefix.length > 0 && round > 0), betweenEvents: 24 }, fleet.now)
        fleet.finish(slot, false)
      }
    }
    fleet.now += 300
    assert.deepEqual(Array.from({ length: 3 }, () => fleet.grant().target).sort(), ['fast', 'other-slow', 'slow'])
  }

  it('does not take a target for fast that has a frequent prompt cached', () => {
    // Each target caches one prompt; the last one gets it each time.
    assertEqualWith((index, round) => round % (index === 2 ? 1 : 8) === 0 ? [`prompt ${index}`] : [], (_index, isCached) => isCached ? 10 : 25)
  })

  it('does not take targets for unequal whose first events come within 4 ms, as clocks tell only whole milliseconds', () => {
    assertEqualWith(() => [], index => [3, 2, 1][index] ?? 0)
  })

  /** Plays 100 online requests a second on six targets with free slots, each held until its first event and for a time after it; returns how many each got from a time on. */
  function playRequests (timingOf: (target: string, now: number) => AnswerTiming, countedFrom: number, until: number, runs = 100): ReadonlyMap<string, number> {
    const admission = new FleetAdmission()
    const ids = Array.from({ length: 6 }, (_, index) => `t${index}`)
    admission.setTargets(ids.map(id => ({ id, address: id, zone: 'a', slots: 8, born: 1, softwareVersion: 'v1', leaving: false, accepting: true })), 0)
    const counts = new Map(ids.map(id => [id, 0]))
    const held: Array<{ readonly permit: string, readonly until: number, readonly timing: AnswerTiming }> = []
    for (let now = 0; now < until; now += 10) {
      const ended = held.filter(slot => slot.until <= now)
      held.splice(0, held.length, ...held.filter(slot => slot.until > now))
      for (const { permit, timing } of ended) {
        admission.recordTiming(permit, timing, now)
        admission.release(permit, SlotOutcome.Finished, now)
      }
      const [decision] = admission.request({ permit: `p${now}`, holder: 'h', workClass: WorkClass.Online, zone: 'a', prefix: [], digest: '', excluded: [], continues: null, patience: 200, spent: 0, latestReturn: 1_000, due: 0, ran: 0, sinceStart: 0 }, now)
      assert.ok(decision?.kind === DecisionKind.Grant)
      const timing = timingOf(decision.target, now)
      held.push({ permit: decision.permit, until: now + timing.firstEvent + runs, timing })
      counts.set(decision.target, (counts.get(decision.target) ?? 0) + (now >= countedFrom ? 1 : 0))
    }
    return counts
  }

  it('gives a target its share again that was slow for a while, although others have free slots', () => {
    const counts = playRequests((target, now) => ({ firstEvent: target === 't5' && now < 4_000 ? 120 : 10, betweenEvents: 10 }), 10_000, 14_000)
    assert.ok((counts.get('t5') ?? 0) >= 400 / 6 / 2, [...counts.values()].join(', '))
  })

  it('sends one of 100 online requests or fewer to targets that stay slow while others have free slots', () => {
    const counts = playRequests(target => ({ firstEvent: target === 't5' || target === 't4' ? 120 : 10, betweenEvents: 10 }), 10_000, 30_000)
    const slow = (counts.get('t4') ?? 0) + (counts.get('t5') ?? 0)
    assert.ok(slow > 0 && slow <= 20, [...counts.values()].join(', '))
  })

  it('shares online requests evenly among idle targets whose first events are equally soon, whatever the times between events', () => {
    const counts = playRequests(target => ({ firstEvent: 5, betweenEvents: target === 't5' || target === 't4' ? 5 : 1 }), 4_000, 8_000, 4)
    assert.ok([...counts.values()].every(count => count >= 400 / 6 / 2), [...counts.values()].join(', '))
  })

  it('finds the fast target among 1,000 without a scan of all', () => {
    const admission = new FleetAdmission()
    const targets = Array.from({ length: 1_000 }, (_, index) => ({ id: `t${index}`, address: '', zone: 'abc'.charAt(index % 3), slots: 8, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }))
    admission.setTargets(targets, 0)
    let now = 0
    let permit = 0
    const request = (): SlotRequest => ({ permit: String(permit), holder: 'h', workClass: WorkClass.Online, zone: 'a', prefix: [], digest: '', excluded: [], continues: null, patience: 200, spent: 0, latestReturn: 1_000, due: 0, ran: 0, sinceStart: 0 })
    const held: Array<{ readonly permit: string, readonly speed: number }> = []
    const startedAt = performance.now()
    for (let call = 0; call < 40_000; call += 1) {
      now += 0.1
      permit += 1
      const [decision] = admission.request(request(), now)
      assert.ok(decision?.kind === DecisionKind.Grant)
      held.push({ permit: decision.permit, speed: Number(decision.target.slice(1)) % 10 < 3 ? 1.7 : 0.7 })
      if (held.length > 2_400) {
        const [first] = held.splice(0, 1)
        admission.recordTiming(first?.permit ?? '', { firstEvent: 25 / (first?.speed ?? 1), betweenEvents: 24 / (first?.speed ?? 1) }, now)
        admission.release(first?.permit ?? '', SlotOutcome.Finished, now)
      }
    }
    const fast = held.filter(({ speed }) => speed > 1).length / held.length
    assert.ok(fast > 0.8, `${fast} of the slots in use are on fast targets`)
    // A scan of 1,000 targets takes more than 50 µs; a decision with its report takes about 20.
    const microseconds = (performance.now() - startedAt) * 1_000 / 40_000
    assert.ok(microseconds < 200, `${microseconds} µs for a decision`)
  })
})

describe('receivedTiming', () => {
  it('ignores what is malformed or absent (guards against estimates from messages of other builds)', () => {
    for (const value of [undefined, null, 5, 'x', {}, { firstEvent: '5' }, { firstEvent: -1 }, { firstEvent: Number.NaN }, { firstEvent: 1e9 }, { betweenEvents: 3 }]) {
      assert.equal(receivedTiming(value), null)
    }
    assert.deepEqual(receivedTiming({ firstEvent: 20, betweenEvents: 3 }), { firstEvent: 20, betweenEvents: 3 })
    assert.deepEqual(receivedTiming({ firstEvent: 20, betweenEvents: 'x' }), { firstEvent: 20, betweenEvents: null })
    assert.deepEqual(receivedTiming({ firstEvent: 20 }), { firstEvent: 20, betweenEvents: null })
  })
})
