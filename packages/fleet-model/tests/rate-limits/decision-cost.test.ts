/** Tests what a decision costs while many requests wait for targets with rate limits. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CrashQuarantine, DecisionKind, defaultFleetAdmissionOptions, FleetAdmission, SlotOutcome, TargetRateLimits } from '@arbutusloft/policy'
import type { FleetTarget, SlotDecision, SlotRequest } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'

const holders = 300
const targets = 60
const slots = 8
const tickMilliseconds = 25

/** Counts how often a limit is looked up, which each examination of a target does. */
class CountingLimits extends TargetRateLimits {
  lookups = 0

  override limitOf (target: string, born: number): number | null {
    this.lookups += 1
    return super.limitOf(target, born)
  }
}

interface Cost {
  readonly lookupsOfDecision: number
  readonly grants: number
}

function requestOf (sequence: number, workClass: WorkClass): SlotRequest {
  const patience = 3_600_000
  return { permit: `p${sequence}`, holder: `h${sequence % holders}`, workClass, zone: 'a', prefix: [], digest: '', excluded: [], continues: null, patience, spent: 0, latestReturn: patience, due: patience, ran: 0, sinceStart: 0 }
}

/** Keeps a number of requests waiting for 4 s; those that are granted end after `hold` ms, and others take their place. */
function costOf (waiting: number, workClass: WorkClass, requestsPerSecond: number, hold: number): Cost {
  const limits = new CountingLimits()
  const fleet = new FleetAdmission(defaultFleetAdmissionOptions, new CrashQuarantine(), limits)
  fleet.setTargets(Array.from({ length: targets }, (_, index): FleetTarget => {
    return { id: `t${index}`, address: '', zone: 'a', slots, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }
  }), 0)
  for (let index = 0; index < targets; index += 1) {
    limits.observe({ service: 's', target: `t${index}`, born: 1, requestsPerSecond, sentAgo: 0, heardAgo: 0 }, 0)
    fleet.onRateLimit(`t${index}`, null, 0)
  }
  const running: Array<{ readonly permit: string, readonly until: number }> = []
  let asked = 0
  let grants = 0
  let decisions = 0
  const apply = (made: readonly SlotDecision[], now: number): void => {
    decisions += 1
    for (const decision of made.filter(({ kind }) => kind === DecisionKind.Grant)) {
      grants += 1
      running.push({ permit: decision.permit, until: now + hold })
    }
  }
  limits.lookups = 0
  for (let now = 0; now < 4_000; now += tickMilliseconds) {
    for (const { permit } of running.filter(({ until }) => until <= now)) {
      apply(fleet.release(permit, SlotOutcome.Finished, now), now)
    }
    running.splice(0, running.length, ...running.filter(({ until }) => until > now))
    while (asked - grants < waiting) {
      asked += 1
      apply(fleet.request(requestOf(asked, workClass), now), now)
    }
    apply(fleet.tick(now), now)
  }
  return { lookupsOfDecision: limits.lookups / decisions, grants }
}

describe('a decision on requests for 60 targets with rate limits', () => {
  for (const workClass of [WorkClass.Online, WorkClass.Batch]) {
    it(`examines no more targets with 500 than with 250 waiting requests of class ${workClass}`, () => {
      const [fewer, more] = [costOf(250, workClass, 3, 650), costOf(500, workClass, 3, 650)]
      // The rate of 4 s, of which the first interval and a quarter of a second are not granted.
      assert.ok(more.grants >= targets * 3 * 3.4, `${more.grants} granted`)
      assert.ok(more.lookupsOfDecision < fewer.lookupsOfDecision * 1.25, `${more.lookupsOfDecision} of ${fewer.lookupsOfDecision} look-ups`)
    })

    it(`examines no more with twice the waiting requests of class ${workClass} where slots are taken for longer than limits ask`, () => {
      const [fewer, more] = [costOf(250, workClass, 12, 2_000), costOf(500, workClass, 12, 2_000)]
      assert.ok(more.grants >= targets * slots, `${more.grants} granted`)
      assert.ok(more.lookupsOfDecision < fewer.lookupsOfDecision * 1.25, `${more.lookupsOfDecision} of ${fewer.lookupsOfDecision} look-ups`)
    })
  }
})
