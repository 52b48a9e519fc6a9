/** Bursts beyond all slots, played without a network, and what callers get of them. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { DecisionKind, FleetAdmission, QueuePatience, SlotOutcome } from '../../src/index.js'
import type { SlotDecision } from '../../src/index.js'

const objective = 300
const slots = 20
const holdMilliseconds = 700
const burstMilliseconds = 4_000
const tickMilliseconds = 25

interface Outcome {
  readonly inTime: number
  readonly late: number
  readonly refused: number
}

/** Plays a burst of one request every `interval` milliseconds against targets that take `firstEvent` milliseconds. */
function playBurst (interval: number, firstEvent: number, patience: { of: (objective: number) => number, add: (milliseconds: number) => void }): Outcome {
  const fleet = new FleetAdmission({ headroom: 0, suspensionMilliseconds: 300, longestSuspensionMilliseconds: 2_000 })
  fleet.setTargets([{ id: 'target', zone: 'a', slots, accepting: true }], 0)
  const arrivedAt = new Map<string, number>()
  const releases = new Map<number, string[]>()
  const outcome = { inTime: 0, late: 0, refused: 0 }
  const take = (decisions: readonly SlotDecision[], now: number): void => {
    for (const decision of decisions) {
      if (decision.kind === DecisionKind.Refuse) {
        outcome.refused += 1
      }
      if (decision.kind === DecisionKind.Grant) {
        const latency = now + firstEvent - (arrivedAt.get(decision.permit) ?? now)
        outcome[latency <= objective ? 'inTime' : 'late'] += 1
        releases.set(now + holdMilliseconds, [...releases.get(now + holdMilliseconds) ?? [], decision.permit])
        patience.add(firstEvent)
      }
    }
  }
  for (let now = 0; now < burstMilliseconds + 2 * holdMilliseconds; now += 1) {
    for (const permit of releases.get(now) ?? []) {
      take(fleet.release(permit, SlotOutcome.Finished, now), now)
    }
    if (now < burstMilliseconds && now % interval === 0) {
      arrivedAt.set(`p${now}`, now)
      const request = { permit: `p${now}`, holder: 'h', workClass: WorkClass.Online, zone: 'a', prefix: [], excluded: [], patience: patience.of(objective), due: 0 }
      take(fleet.request(request, now), now)
    }
    if (now % tickMilliseconds === 0) {
      take(fleet.tick(now), now)
    }
  }
  return outcome
}

const fixedShare = { of: (value: number) => value * 0.75, add: () => {} }

describe('the patience of queued requests', () => {
  for (const [interval, firstEvent] of [[20, 110], [24, 110], [20, 90], [15, 120]] as const) {
    it(`serves more in time in a burst of one request every ${interval} ms with first events after ${firstEvent} ms`, () => {
      const fixed = playBurst(interval, firstEvent, fixedShare)
      const measured = playBurst(interval, firstEvent, new QueuePatience())
      assert.ok(measured.inTime > fixed.inTime, JSON.stringify({ fixed, measured }))
      assert.ok(measured.late < fixed.late, JSON.stringify({ fixed, measured }))
      assert.ok(measured.inTime + measured.late >= (fixed.inTime + fixed.late) * 0.95, JSON.stringify({ fixed, measured }))
    })
  }

  it('changes nothing where slots suffice', () => {
    assert.deepEqual(playBurst(40, 60, new QueuePatience()), playBurst(40, 60, fixedShare))
  })

  it('stays within its bounds', () => {
    const patience = new QueuePatience()
    assert.equal(patience.of(300), 220)
    for (let sample = 0; sample < 50; sample += 1) {
      patience.add(1)
    }
    assert.equal(patience.of(300), 225)
    for (let sample = 0; sample < 50; sample += 1) {
      patience.add(sample % 2 === 0 ? 2_000 : 10)
    }
    assert.equal(patience.of(300), 120)
  })
})
