/** Tests of the decisions of fleet admission, without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { DecisionKind, FleetAdmission, SlotOutcome } from '../../src/index.js'
import type { FleetTarget, SlotDecision, SlotRequest } from '../../src/index.js'

const targets: readonly FleetTarget[] = [
  { id: 'one', zone: 'a', slots: 2, accepting: true },
  { id: 'two', zone: 'b', slots: 2, accepting: true }
]

function request (permit: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return { permit, holder: 'h', workClass: WorkClass.Online, zone: 'a', prefix: [], excluded: [], patience: 100, due: 0, ...overrides }
}

function createFleet (headroom = 0): FleetAdmission {
  const created = new FleetAdmission({ headroom, initialSuspensionMilliseconds: 300, maximumSuspensionMilliseconds: 2_000 })
  created.setTargets(targets, 0)
  return created
}

function describeDecisions (decisions: readonly SlotDecision[]): readonly string[] {
  return decisions.map(decision => `${decision.kind} ${decision.permit}`)
}

function targetOf (decisions: readonly SlotDecision[]): string | null {
  const [decision] = decisions
  return decision?.kind === DecisionKind.Grant ? decision.target : null
}

const batch = { workClass: WorkClass.Batch }

describe('FleetAdmission', () => {
  it('spreads requests over the targets and prefers the availability zone of the holder', () => {
    const fleet = createFleet()
    const granted = ['p1', 'p2', 'p3', 'p4'].flatMap(permit => fleet.request(request(permit), 0))
    assert.deepEqual(granted.map(decision => decision.kind === DecisionKind.Grant ? decision.target : null), ['one', 'one', 'two', 'two'])
  })

  it('returns the same grant for a repeated request', () => {
    const fleet = createFleet()
    assert.deepEqual(fleet.request(request('p1'), 0), fleet.request(request('p1'), 50))
    assert.equal(fleet.load().online, 1)
  })

  it('grants an online request at once by preempting recently granted batch work', () => {
    const fleet = createFleet()
    for (const [index, permit] of ['b1', 'b2', 'b3', 'b4'].entries()) {
      fleet.request(request(permit, batch), index)
    }
    const decisions = fleet.request(request('p1'), 10)
    assert.equal(decisions[0]?.kind, DecisionKind.Grant)
    assert.equal(decisions[1]?.kind, DecisionKind.Revoke)
    assert.ok(['b3', 'b4', 'b2'].includes(decisions[1]?.permit ?? ''))
  })

  it('grants no batch work while an online request waits', () => {
    const fleet = createFleet()
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      fleet.request(request(permit), 0)
    }
    assert.deepEqual(fleet.request(request('b1', batch), 0), [])
    assert.deepEqual(fleet.request(request('p5', { patience: 1_000 }), 0), [])
    assert.deepEqual(describeDecisions(fleet.release('p1', SlotOutcome.Finished, 10)), ['grant p5'])
    assert.deepEqual(describeDecisions(fleet.release('p2', SlotOutcome.Finished, 20)), ['grant b1'])
  })

  it('rejects a request at once if it cannot start in time', () => {
    const fleet = createFleet()
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      fleet.request(request(permit), 0)
    }
    const [decision] = fleet.request(request('p5', { patience: 20 }), 0)
    assert.equal(decision?.kind, DecisionKind.Refuse)
  })

  it('grants a free slot to requests in time before late ones, and to late ones if there are no others', () => {
    const fleet = createFleet()
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      fleet.request(request(permit), 0)
    }
    fleet.request(request('old', { patience: 400 }), 0)
    fleet.request(request('new', { patience: 700 }), 500)
    assert.deepEqual(describeDecisions(fleet.release('p1', SlotOutcome.Finished, 600)), ['grant new'])
    assert.deepEqual(describeDecisions(fleet.release('p2', SlotOutcome.Finished, 700)), ['grant old'])
  })

  it('rejects a late request after five times its maximum wait', () => {
    const fleet = createFleet()
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      fleet.request(request(permit), 0)
    }
    fleet.request(request('old', { patience: 400 }), 0)
    assert.deepEqual(fleet.tick(1_900), [])
    assert.deepEqual(describeDecisions(fleet.tick(2_100)), ['refuse old'])
  })

  it('grants batch work in the order of its deadlines', () => {
    const fleet = createFleet()
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      fleet.request(request(permit), 0)
    }
    fleet.request(request('late', { ...batch, due: 900 }), 0)
    fleet.request(request('soon', { ...batch, due: 100 }), 0)
    assert.deepEqual(describeDecisions(fleet.release('p1', SlotOutcome.Finished, 10)), ['grant soon'])
  })

  it('leaves headroom for online work', () => {
    const fleet = createFleet(2)
    const granted = ['b1', 'b2', 'b3', 'b4'].flatMap(permit => fleet.request(request(permit, batch), 0))
    assert.equal(granted.length, 2)
  })

  it('suspends a target for all holders after two of them could not reach it, until the suspension ends', () => {
    const fleet = createFleet()
    for (const holder of ['h', 'i']) {
      fleet.request(request(`p-${holder}`, { holder }), 0)
      fleet.release(`p-${holder}`, SlotOutcome.Unreachable, 10)
    }
    const target = (now: number): unknown => targetOf(fleet.request(request(`p-${now}`, { holder: 'j' }), now))
    assert.equal(target(20), 'two')
    assert.equal(target(700), 'one')
  })

  it('suspends a target only for the holder if no other holder failed to reach it', () => {
    const fleet = createFleet()
    fleet.request(request('p1'), 0)
    fleet.release('p1', SlotOutcome.Unreachable, 10)
    assert.equal(targetOf(fleet.request(request('p2'), 20)), 'two')
    assert.equal(targetOf(fleet.request(request('p3', { holder: 'other' }), 20)), 'one')
  })

  it('does not suspend a target whose answers are occasionally interrupted', () => {
    const fleet = createFleet()
    for (const [index, outcome] of [SlotOutcome.Broken, SlotOutcome.Broken, SlotOutcome.Finished, SlotOutcome.Broken].entries()) {
      fleet.request(request(`p${index}`), index)
      fleet.release(`p${index}`, outcome, index)
    }
    assert.equal(targetOf(fleet.request(request('next'), 10)), 'one')
  })

  it('grants batch work an excluded target if there is no other', () => {
    const fleet = new FleetAdmission({ headroom: 0, initialSuspensionMilliseconds: 300, maximumSuspensionMilliseconds: 2_000 })
    fleet.setTargets(targets.slice(0, 1), 0)
    assert.equal(targetOf(fleet.request(request('b1', { ...batch, excluded: ['one'] }), 0)), 'one')
  })

  it('grants no batch work before a new owner knows which slots are held', () => {
    const fleet = createFleet()
    fleet.blockBatchUntil(500)
    assert.deepEqual(fleet.request(request('b1', batch), 0), [])
    assert.equal(targetOf(fleet.request(request('p1'), 0)), 'one')
    assert.deepEqual(describeDecisions(fleet.tick(500)), ['grant b1'])
  })

  it('frees slots that a holder does not report, and revokes reported ones again that were revoked before', () => {
    const fleet = createFleet()
    for (const permit of ['b1', 'b2', 'b3', 'b4']) {
      fleet.request(request(permit, batch), 0)
    }
    const revoked = fleet.request(request('p1'), 10).find(decision => decision.kind === DecisionKind.Revoke)?.permit ?? ''
    const held = [{ permit: revoked, target: 'one', workClass: WorkClass.Batch, due: 0 }]
    assert.deepEqual(describeDecisions(fleet.synchronize('h', held, 1_000)), [`revoke ${revoked}`])
    assert.deepEqual(fleet.load(), { online: 0, batch: 0, waiting: 0, slots: 4 })
  })

  it('grants no slots on a draining target', () => {
    const fleet = createFleet()
    fleet.setTargets(targets.map(target => ({ ...target, accepting: target.id === 'two' })), 0)
    const granted = ['p1', 'p2', 'p3'].flatMap(permit => fleet.request(request(permit), 0))
    assert.deepEqual(granted.map(decision => decision.kind === DecisionKind.Grant ? decision.target : null), ['two', 'two', null])
  })

  // Load: a target fails three of five requests, while its health checks pass.
  it('uses a target with a high failure rate only when the others are busy', () => {
    const fleet = createFleet()
    let now = 0
    for (let run = 0; run < 10; run += 1) {
      now += 10
      fleet.request(request(`p${run}`, { excluded: ['two'] }), now)
      fleet.release(`p${run}`, run % 5 < 2 ? SlotOutcome.Finished : SlotOutcome.Failed, now)
    }
    assert.equal(targetOf(fleet.request(request('q1'), now)), 'two')
    assert.equal(targetOf(fleet.request(request('q2'), now)), 'two')
    assert.equal(targetOf(fleet.request(request('q3'), now)), 'one')
    fleet.release('q1', SlotOutcome.Finished, now)
    fleet.release('q3', SlotOutcome.Finished, now)
    // After ten seconds the failures no longer count.
    assert.equal(targetOf(fleet.request(request('q4'), now + 10_000)), 'one')
  })

  // Load: a burst takes all batch slots while some items have an early deadline.
  it('preempts the items with the latest deadlines, on whichever target they run', () => {
    const fleet = createFleet()
    fleet.request(request('soon-1', { ...batch, due: 4_000 }), 0)
    fleet.request(request('late-1', { ...batch, due: 16_000 }), 1)
    fleet.request(request('late-2', { ...batch, due: 15_500 }), 2)
    fleet.request(request('soon-2', { ...batch, due: 5_000 }), 3)
    const revoked = ['p1', 'p2'].flatMap(permit => fleet.request(request(permit), 10))
      .flatMap(decision => decision.kind === DecisionKind.Revoke ? [decision.permit] : [])
    assert.deepEqual([...revoked].sort(), ['late-1', 'late-2'])
  })
})
