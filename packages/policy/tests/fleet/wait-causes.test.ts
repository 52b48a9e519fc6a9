/** Tests what fleet admission tells of a request that waits, without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { CrashQuarantine, defaultFleetAdmissionOptions, FleetAdmission, receivedWait, SlotOutcome, TargetRateLimits, unknownWait, WaitCause } from '../../src/index.js'
import type { FleetTarget, SlotRequest, SlotWait } from '../../src/index.js'

const online = { workClass: WorkClass.Online, patience: 10_000, due: 0 }

function target (id: string, overrides: Partial<FleetTarget> = {}): FleetTarget {
  return { id, address: `${id}:1`, zone: 'a', slots: 1, born: 1, softwareVersion: 'v1', leaving: false, accepting: true, ...overrides }
}

function request (permit: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return { permit, holder: 'h', workClass: WorkClass.Batch, zone: 'a', prefix: [], digest: permit, excluded: [], continues: null, patience: 0, spent: 0, latestReturn: 1_000, due: 20_000, ran: 0, sinceStart: 0, ...overrides }
}

/** A fleet of targets, and what its decisions depend on. */
class WaitingFleet {
  readonly quarantine = new CrashQuarantine()
  readonly limits = new TargetRateLimits()
  readonly admission: FleetAdmission

  constructor (readonly targets: readonly FleetTarget[], headroom = 0) {
    this.admission = new FleetAdmission({ ...defaultFleetAdmissionOptions, headroom }, this.quarantine, this.limits)
    this.admission.setTargets(targets, 0)
  }

  grant (permit: string, now: number, overrides: Partial<SlotRequest> = {}): void {
    const [decision] = this.admission.request(request(permit, overrides), now)
    assert.equal(decision?.kind, 'grant', `${permit}: ${JSON.stringify(decision)}`)
  }

  /** Requests a slot, which has to wait, and returns why. */
  waitFor (permit: string, now: number, overrides: Partial<SlotRequest> = {}): SlotWait | null {
    assert.deepEqual(this.admission.request(request(permit, overrides), now), [])
    return this.admission.waitOf(permit, now)
  }

  limit (id: string, now: number): void {
    this.limits.observe({ service: 's', target: id, born: 1, requestsPerSecond: 0.25, sentAgo: 0, heardAgo: 0 }, now)
    this.admission.onRateLimit(id, null, now)
  }

  /** Lets a holder fail to reach a target. */
  fail (permit: string, holder: string, id: string, now: number): void {
    this.grant(permit, now, { holder, excluded: this.targets.map(other => other.id).filter(other => other !== id) })
    this.admission.release(permit, SlotOutcome.Unreachable, now)
  }

  quarantineRequest (digest: string, now: number): void {
    for (const crashed of ['t1', 't2', 't3']) {
      this.quarantine.onCrashed(crashed, { target: crashed, parts: [], digest }, now)
    }
  }
}

describe('the cause of a wait', () => {
  it('is that all slots are taken, or left free for online requests', () => {
    const taken = new WaitingFleet([target('one')])
    taken.grant('first', 0)
    assert.deepEqual(taken.waitFor('w', 10), { cause: WaitCause.Full, until: 0 })
    const left = new WaitingFleet([target('one', { slots: 2 })], 1)
    left.grant('first', 0)
    assert.deepEqual(left.waitFor('w', 10), { cause: WaitCause.Full, until: 0 })
  })

  it('is that slots are taken for an online request as well', () => {
    const fleet = new WaitingFleet([target('one')])
    fleet.grant('first', 0, online)
    assert.deepEqual(fleet.waitFor('w', 10, online), { cause: WaitCause.Full, until: 0 })
  })

  it('is a rate limit if only limits bar free slots', () => {
    const fleet = new WaitingFleet([target('one', { slots: 4 }), target('two')])
    fleet.limit('one', 0)
    fleet.grant('other', 0, { excluded: ['one'] })
    assert.deepEqual(fleet.waitFor('w', 10), { cause: WaitCause.Limited, until: 0 })
  })

  it('is that the service has no target that accepts work', () => {
    const fleet = new WaitingFleet([target('one', { accepting: false })])
    assert.deepEqual(fleet.waitFor('w', 10), { cause: WaitCause.NoTarget, until: 0 })
    assert.deepEqual(new WaitingFleet([]).waitFor('w', 10), { cause: WaitCause.NoTarget, until: 0 })
  })

  it('is that no target of its version accepts work', () => {
    const fleet = new WaitingFleet([target('one', { accepting: false }), target('two', { softwareVersion: 'v2' })])
    assert.deepEqual(fleet.waitFor('w', 10, { continues: { softwareVersion: 'v1', target: 'one', born: 1 } }), { cause: WaitCause.NoTarget, until: 0 })
  })

  it('is its version only while a target of another version could take it', () => {
    const fleet = new WaitingFleet([target('one'), target('two', { softwareVersion: 'v2' })])
    fleet.grant('first', 0, { excluded: ['two'] })
    const continues = { softwareVersion: 'v1', target: 'one', born: 1 }
    assert.deepEqual(fleet.waitFor('w', 10, { continues }), { cause: WaitCause.VersionTaken, until: 0 })
    fleet.grant('second', 20)
    assert.deepEqual(fleet.waitFor('w', 30, { continues }), { cause: WaitCause.Full, until: 0 })
  })

  it('is its version if all targets of that are suspended and a target of another version is free', () => {
    const fleet = new WaitingFleet([target('one'), target('two', { softwareVersion: 'v2' })])
    fleet.fail('x', 'x', 'one', 0)
    fleet.fail('y', 'y', 'one', 0)
    assert.deepEqual(fleet.waitFor('w', 10, { continues: { softwareVersion: 'v1', target: 'one', born: 1 } }), { cause: WaitCause.VersionTaken, until: 0 })
  })

  it('is that its content is held back, with the time of the next trial, whatever else it would wait for', () => {
    const fleet = new WaitingFleet([target('one'), target('two', { softwareVersion: 'v2' })])
    fleet.quarantineRequest('w', 0)
    assert.deepEqual(fleet.waitFor('w', 400), { cause: WaitCause.HeldBack, until: 600 })
    fleet.grant('first', 500, { excluded: ['two'] })
    assert.deepEqual(fleet.waitFor('w', 500, { continues: { softwareVersion: 'v1', target: 'one', born: 1 } }), { cause: WaitCause.HeldBack, until: 500 })
  })

  it('is that its content is held back if its trial is left to holders that have not failed', () => {
    const fleet = new WaitingFleet([target('one'), target('two')])
    fleet.quarantineRequest('w', 0)
    fleet.fail('failed', 'h', 'one', 900)
    assert.deepEqual(fleet.waitFor('w', 1_300), { cause: WaitCause.HeldBack, until: 700 })
  })

  it('is that its content is held back while another request with it is observed', () => {
    const fleet = new WaitingFleet([target('one'), target('two')])
    fleet.quarantine.onCrashed('t1', { target: 't1', parts: [], digest: 'same' }, 0)
    fleet.grant('first', 10, { digest: 'same' })
    assert.deepEqual(fleet.waitFor('w', 20, { digest: 'same' }), { cause: WaitCause.HeldBack, until: 0 })
  })

  it('is that its holder counts as cut off and has used its slots', () => {
    const ids = ['one', 'two', 'three']
    const fleet = new WaitingFleet(ids.map(id => target(id, { slots: 2 })))
    ids.forEach((id, index) => { fleet.fail(`f${index}`, 'h', id, index) })
    for (let index = 0; index < 3; index += 1) {
      fleet.grant(`other-${index}`, 500, { holder: 'other' })
    }
    const waits: Array<SlotWait | null> = []
    for (let index = 0; index < 3; index += 1) {
      const permit = `w${index}`
      fleet.admission.request(request(permit), 510)
      waits.push(fleet.admission.waitOf(permit, 510))
    }
    assert.deepEqual(waits.at(-1), { cause: WaitCause.CutOff, until: 0 }, JSON.stringify(waits))
  })

  it('is that batch work yields after a change of owners, and while an online request waits', () => {
    const fleet = new WaitingFleet([target('one'), target('two', { softwareVersion: 'v2' })])
    fleet.admission.blockBatchUntil(400)
    assert.deepEqual(fleet.waitFor('w', 100), { cause: WaitCause.Yields, until: 300 })
    const waiting = new WaitingFleet([target('one')])
    waiting.grant('first', 0, online)
    waiting.waitFor('second', 10, online)
    assert.deepEqual(waiting.waitFor('w', 20), { cause: WaitCause.Yields, until: 0 })
  })

  it('is that batch work leaves what a limit allows to online requests that have just waited', () => {
    const fleet = new WaitingFleet([target('one', { slots: 4 })])
    fleet.limits.observe({ service: 's', target: 'one', born: 1, requestsPerSecond: 20, sentAgo: 0, heardAgo: 0 }, 0)
    fleet.admission.onRateLimit('one', null, 0)
    for (let index = 0; index < 4; index += 1) {
      fleet.admission.request(request(`o${index}`, online), 100 + index * 60)
    }
    fleet.admission.request(request('late', online), 300)
    fleet.admission.withdraw('late')
    fleet.admission.release('o0', SlotOutcome.Finished, 500)
    assert.deepEqual(fleet.waitFor('w', 500), { cause: WaitCause.Yields, until: 0 })
  })

  it('is that free targets are suspended, for all holders or its own', () => {
    const all = new WaitingFleet([target('one')])
    all.fail('x', 'x', 'one', 0)
    all.fail('y', 'y', 'one', 0)
    assert.deepEqual(all.waitFor('w', 10), { cause: WaitCause.Suspended, until: 0 })
    const own = new WaitingFleet([target('one')])
    own.fail('x', 'h', 'one', 0)
    assert.deepEqual(own.waitFor('w', 10), { cause: WaitCause.Suspended, until: 0 })
  })

  it('is none for a request that does not wait', () => {
    const fleet = new WaitingFleet([target('one')])
    fleet.grant('first', 0)
    assert.equal(fleet.admission.waitOf('first', 10), null)
    assert.equal(fleet.admission.waitOf('other', 10), null)
  })

  it('is told without a scan of 5,000 targets', () => {
    const timeOf = (count: number): number => {
      const fleet = new FleetAdmission()
      fleet.setTargets(Array.from({ length: count }, (_, index) => target(`t${index}`, { zone: `z${index % 3}`, slots: 8 })), 0)
      for (let index = 0; index < count * 8 + 10; index += 1) {
        fleet.request(request(`b${index}`, { zone: `z${index % 3}`, due: index }), 0)
      }
      const waiting = `b${count * 8 + 9}`
      const started = performance.now()
      for (let index = 0; index < 2_000; index += 1) {
        assert.equal(fleet.waitOf(waiting, 1_000)?.cause, WaitCause.Full)
      }
      return performance.now() - started
    }
    timeOf(50)
    const small = Math.min(timeOf(50), timeOf(50), timeOf(50))
    const large = Math.min(timeOf(5_000), timeOf(5_000))
    assert.ok(large < small * 10, `${large} ms with 5,000 targets, ${small} ms with 50`)
  })
})

describe('receivedWait', () => {
  it('takes what another build left out, or this one does not know, for unknown', () => {
    const known = { cause: WaitCause.HeldBack, until: 5 }
    assert.deepEqual(receivedWait(known), known)
    for (const value of [undefined, null, 'full', {}, { cause: 'other', until: 5 }, { cause: WaitCause.Full }, { cause: WaitCause.Full, until: '5' }]) {
      assert.deepEqual(receivedWait(value), unknownWait, JSON.stringify(value))
    }
  })
})
