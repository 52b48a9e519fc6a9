/** Tests of the decisions of fleet admission, without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { DecisionKind, FleetAdmission, CrashQuarantine, RefusalReason, SlotOutcome } from '../../src/index.js'
import type { FleetTarget, SlotDecision, SlotRequest } from '../../src/index.js'

const targets: readonly FleetTarget[] = [
  { id: 'one', address: '1:1', zone: 'a', slots: 2, born: 1, softwareVersion: 'v1', leaving: false, accepting: true },
  { id: 'two', address: '2:2', zone: 'b', slots: 2, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }
]

function request (permit: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return { permit, holder: 'h', workClass: WorkClass.Online, zone: 'a', prefix: [], digest: '', excluded: [], continues: null, patience: 100, spent: 0, latestReturn: 1_000, due: 0, ran: 0, sinceStart: 0, ...overrides }
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

  it('does not repeat a grant on a target that no longer accepts work', () => {
    const fleet = createFleet()
    assert.equal(targetOf(fleet.request(request('p1'), 0)), 'one')
    fleet.setTargets(targets.map(target => ({ ...target, accepting: target.id !== 'one' })), 10)
    assert.equal(targetOf(fleet.request(request('p1'), 20)), 'two')
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

  it('prefers targets whose answers are complete to those that interrupt them, also after most targets have crashed under both holders', () => {
    const fleet = createFleet()
    const crashed = ['1', '2', '3', '4']
    fleet.setTargets([...crashed, '5', '6'].map(id => ({ id, address: `1:${id}`, zone: 'a', slots: 8, born: 1, softwareVersion: 'v1', leaving: false, accepting: true })), 0)
    // The targets that live are busier than the others.
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      fleet.request(request(permit, { excluded: crashed }), 0)
    }
    for (const [index, id] of crashed.entries()) {
      for (const holder of ['h', 'i']) {
        const permit = `${holder}${id}`
        const others = [...crashed, '5', '6'].filter(other => other !== id)
        assert.equal(targetOf(fleet.request(request(permit, { holder, excluded: others }), 10 + index)), id)
        fleet.release(permit, SlotOutcome.Broken, 11 + index)
      }
    }
    assert.deepEqual(['n1', 'n2'].map(permit => targetOf(fleet.request(request(permit), 20)) ?? '').sort(), ['5', '6'])
    // They are tried again after some time, also if the others have room.
    assert.equal(crashed.includes(targetOf(fleet.request(request('n3'), 2_000)) ?? ''), true)
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
    const target = (permit: string, now: number): unknown => targetOf(fleet.request(request(permit, { holder: 'j' }), now))
    assert.deepEqual([target('q1', 20), target('q2', 20), target('q3', 20)], ['two', 'two', null])
    // When the suspension is over, only the waiting request tries the target.
    assert.equal(target('q4', 320), 'one')
    assert.equal(target('q5', 330), null)
    fleet.release('q4', SlotOutcome.Finished, 400)
    assert.equal(target('q6', 410), 'one')
  })

  // Load: a target that crashed still refuses connections when its suspension ends, while requests wait for slots.
  it('lets only one request at a time try a target that was suspended', () => {
    const fleet = createFleet()
    for (const holder of ['h', 'i']) {
      fleet.request(request(`p-${holder}`, { holder }), 0)
      fleet.release(`p-${holder}`, SlotOutcome.Unreachable, 10)
    }
    for (const permit of ['q1', 'q2', 'q3', 'q4']) {
      fleet.request(request(permit, { holder: 'j', patience: 1_000 }), 20)
    }
    const tried = fleet.tick(320)
    assert.deepEqual(tried.map(decision => decision.kind === DecisionKind.Grant ? decision.target : null), ['one'])
    fleet.release(tried[0]?.permit ?? '', SlotOutcome.Unreachable, 325)
    // The second suspension is twice as long.
    assert.deepEqual(fleet.tick(900), [])
    assert.equal(fleet.tick(1_000).length, 1)
  })

  it('lets batch work try a target that was suspended, also if no other target is left', () => {
    const fleet = new FleetAdmission()
    fleet.setTargets([{ id: 'one', address: '1:1', zone: 'a', slots: 4, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }], 0)
    for (const at of [0, 1, 2]) {
      fleet.request(request(`b${at}`, batch), at)
      fleet.release(`b${at}`, SlotOutcome.Broken, at)
    }
    assert.deepEqual(fleet.request(request('b3', { ...batch, excluded: ['one'] }), 10), [])
    assert.deepEqual(describeDecisions(fleet.tick(400)), ['grant b3'])
  })

  it('suspends a target for all holders when another target responds at its address', () => {
    const fleet = createFleet()
    fleet.request(request('p1'), 0)
    fleet.release('p1', SlotOutcome.Replaced, 10)
    assert.equal(targetOf(fleet.request(request('p2', { holder: 'other' }), 20)), 'two')
  })

  it('learns nothing of a target from requests that their receivers stopped', () => {
    const fleet = createFleet()
    for (const holder of ['h', 'i']) {
      fleet.request(request(`p-${holder}`, { holder }), 0)
    }
    fleet.release('p-h', SlotOutcome.Unreachable, 10)
    fleet.request(request('stopped', { holder: 'k' }), 10)
    fleet.release('p-i', SlotOutcome.Unreachable, 11)
    fleet.release('stopped', SlotOutcome.Stopped, 12)
    assert.equal(targetOf(fleet.request(request('p2', { holder: 'j' }), 20)), 'two')
  })

  // Load: a burst beyond all slots whose rejected callers come back while it lasts.
  it('serves callers that come back before newcomers, and rejects the last newcomer if it would be late by that', () => {
    const fleet = createFleet()
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      fleet.request(request(permit), 0)
    }
    // A slot becomes free every 162 ms on average.
    const newcomer = { patience: 400 }
    assert.deepEqual(fleet.request(request('n1', newcomer), 10), [])
    assert.deepEqual(fleet.request(request('n2', newcomer), 20), [])
    assert.deepEqual(describeDecisions(fleet.request(request('n3', newcomer), 30)), ['refuse n3'])
    assert.deepEqual(describeDecisions(fleet.request(request('back', { ...newcomer, spent: 1_000 }), 40)), ['refuse n2'])
    assert.deepEqual(describeDecisions(fleet.release('p1', SlotOutcome.Finished, 100)), ['grant back'])
    assert.deepEqual(describeDecisions(fleet.release('p2', SlotOutcome.Finished, 110)), ['grant n1'])
  })

  it('rejects newcomers who would have to let pass too many callers that were told to come back meanwhile', () => {
    const fleet = createFleet()
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      fleet.request(request(permit), 0)
    }
    const [refused] = fleet.request(request('refused', { patience: 20, latestReturn: 300 }), 0)
    assert.ok(refused?.kind === DecisionKind.Refuse && refused.retryAfter <= 300)
    // Without the caller that is expected back, the wait would be one slot, 162 ms.
    assert.deepEqual(describeDecisions(fleet.request(request('new', { patience: 305 }), 10)), ['refuse new'])
    assert.deepEqual(fleet.request(request('patient', { patience: 400 }), 10), [])
  })

  // Load: more batch work than slots.
  it('grants slots to items that can still be in time before those that cannot, and preempts the latter first', () => {
    const fleet = createFleet()
    fleet.request(request('first', { ...batch, due: 10_000 }), 0)
    // From now on, items are expected to need a second.
    fleet.release('first', SlotOutcome.Finished, 1_000)
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      fleet.request(request(permit), 1_000)
    }
    fleet.request(request('hopeless', { ...batch, due: 1_800 }), 1_000)
    fleet.request(request('in-time', { ...batch, due: 5_000 }), 1_000)
    fleet.request(request('nearly-done', { ...batch, due: 1_800, ran: 900, sinceStart: 900 }), 1_000)
    assert.deepEqual(describeDecisions(fleet.release('p1', SlotOutcome.Finished, 1_010)), ['grant nearly-done'])
    assert.deepEqual(describeDecisions(fleet.release('p2', SlotOutcome.Finished, 1_010)), ['grant in-time'])
    assert.deepEqual(describeDecisions(fleet.release('p3', SlotOutcome.Finished, 1_010)), ['grant hopeless'])
    assert.deepEqual(describeDecisions(fleet.request(request('p5', {}), 1_300)), ['grant p5', 'revoke hopeless'])
  })

  it('preempts an item that has just begun only if there is no other', () => {
    const fleet = createFleet()
    fleet.request(request('older-1', { ...batch, due: 4_000 }), 0)
    fleet.request(request('older-2', { ...batch, due: 4_000 }), 0)
    fleet.request(request('begun-1', { ...batch, due: 4_500 }), 950)
    fleet.request(request('begun-2', { ...batch, due: 4_500 }), 950)
    const revoked = ['p1', 'p2', 'p3'].flatMap(permit => fleet.request(request(permit), 1_000))
      .flatMap(decision => decision.kind === DecisionKind.Revoke ? [decision.permit] : [])
    assert.deepEqual([...revoked].sort().slice(0, 1), ['begun-1'])
    assert.deepEqual([...revoked].sort().slice(1), ['older-1', 'older-2'])
  })

  it('frees the slots of a holder that is gone at once, those granted last included', () => {
    const fleet = createFleet()
    fleet.request(request('p1', { holder: 'gone' }), 1_000)
    fleet.removeHolder('gone', 1_010)
    assert.equal(fleet.load().online, 0)
  })

  // Sizes: a decision must not scan the targets or slots; with a hundred times as many, a scan would take a hundred times as long.
  it('decides without a scan of 5,000 targets', () => {
    const timeOf = (count: number): number => {
      const fleet = new FleetAdmission()
      fleet.setTargets(Array.from({ length: count }, (_, index) => ({ id: `t${index}`, address: '', zone: `z${index % 3}`, slots: 8, born: 1, softwareVersion: 'v1', leaving: false, accepting: true })), 0)
      for (let index = 0; index < count * 8; index += 1) {
        fleet.request(request(`b${index}`, { ...batch, zone: `z${index % 3}`, due: index }), 0)
      }
      const started = performance.now()
      for (let index = 0; index < 2_000; index += 1) {
        fleet.request(request(`p${index}`, { zone: `z${index % 3}` }), 1_000)
        fleet.release(`p${index}`, SlotOutcome.Finished, 1_000)
      }
      return performance.now() - started
    }
    timeOf(50)
    const small = Math.min(timeOf(50), timeOf(50), timeOf(50))
    const large = Math.min(timeOf(5_000), timeOf(5_000), timeOf(5_000))
    assert.ok(large < small * 10, `${large} ms with 5,000 targets, ${small} ms with 50`)
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
    const held = [{ permit: revoked, target: 'one', workClass: WorkClass.Batch, due: 0, ran: 0 }]
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

  it('rejects online requests with a prompt part that crashes targets, also those that wait, and serves others', () => {
    const quarantine = new CrashQuarantine()
    const guarded = new FleetAdmission({ headroom: 0, initialSuspensionMilliseconds: 300, maximumSuspensionMilliseconds: 2_000 }, quarantine)
    guarded.setTargets(targets, 0)
    for (const [index, permit] of ['p1', 'p2', 'p3', 'p4'].entries()) {
      assert.equal(guarded.request(request(permit, { prefix: ['good'] }), index)[0]?.kind, DecisionKind.Grant)
    }
    assert.deepEqual(guarded.request(request('waiting', { prefix: ['bad'], patience: 1_000 }), 10), [])
    for (const target of ['one', 'two', 'three']) {
      quarantine.onCrashed(`at-${target}`, { target, parts: ['bad'], digest: '' }, 20)
    }
    const [refusal] = guarded.tick(30)
    assert.ok(refusal?.kind === DecisionKind.Refuse && refusal.permit === 'waiting' && refusal.reason === RefusalReason.Quarantined)
    assert.ok(refusal.retryAfter > 0)
    assert.deepEqual(describeDecisions(guarded.request(request('next', { prefix: ['bad'] }), 40)), ['refuse next'])
    guarded.release('p1', SlotOutcome.Finished, 50)
    assert.deepEqual(describeDecisions(guarded.request(request('p5', { prefix: ['good'] }), 60)), ['grant p5'])
  })

  it('lets items with a prompt part that crashes targets wait behind all others', () => {
    const quarantine = new CrashQuarantine()
    const fleet = new FleetAdmission({ headroom: 0, initialSuspensionMilliseconds: 300, maximumSuspensionMilliseconds: 2_000 }, quarantine)
    fleet.setTargets(targets, 0)
    for (const target of ['one', 'two', 'three']) {
      quarantine.onCrashed(`at-${target}`, { target, parts: ['bad'], digest: '' }, 0)
    }
    assert.deepEqual(fleet.request(request('b1', { ...batch, prefix: ['bad'], due: 1 }), 10), [])
    assert.deepEqual(describeDecisions(fleet.request(request('b2', { ...batch, prefix: ['good'], due: 2 }), 20)), ['grant b2'])
    assert.deepEqual(describeDecisions(fleet.tick(30_000)), ['grant b1'])
  })

  it('grants batch slots while online requests wait for the end of another one with the same prompt part', () => {
    const quarantine = new CrashQuarantine()
    const fleet = new FleetAdmission({ headroom: 0, initialSuspensionMilliseconds: 300, maximumSuspensionMilliseconds: 2_000 }, quarantine)
    fleet.setTargets(targets, 0)
    quarantine.onCrashed('p0', { target: 'gone', parts: ['suspected'], digest: '' }, 0)
    assert.deepEqual(describeDecisions(fleet.request(request('p1', { prefix: ['suspected'] }), 10)), ['grant p1'])
    assert.deepEqual(fleet.request(request('p2', { prefix: ['suspected'], patience: 1_000 }), 20), [])
    assert.deepEqual(describeDecisions(fleet.request(request('b1', { ...batch, due: 1 }), 30)), ['grant b1'])
    assert.deepEqual(describeDecisions(fleet.release('p1', SlotOutcome.Finished, 100)), ['grant p2'])
  })

  // Load: instances that are cut off from all targets while others reach them.
  it('keeps slots for holders that reach targets from those that reach none, and refuses what these cannot use at once', () => {
    const fleet = createFleet()
    const cut = { holder: 'cut', patience: 1_000 }
    for (const [index, { id }] of targets.entries()) {
      fleet.request(request(`failed-${id}`, { ...cut, excluded: targets.filter(other => other.id !== id).map(other => other.id) }), index)
      fleet.release(`failed-${id}`, SlotOutcome.Unreachable, 10)
    }
    assert.deepEqual(['c1', 'c2', 'c3'].map(permit => targetOf(fleet.request(request(permit, cut), 400))), ['one', 'one', null])
    assert.deepEqual(fleet.request(request('c4', cut), 400), [])
    const [refusal] = fleet.request(request('c5', cut), 400)
    assert.ok(refusal?.kind === DecisionKind.Refuse && refusal.retryAfter <= 1_000)
    // Batch work does not wait for requests that cannot be served.
    assert.deepEqual(describeDecisions(fleet.request(request('b1', batch), 410)), ['grant b1'])
    assert.equal(targetOf(fleet.request(request('p1'), 420)), 'two')
    // The first answer shows that the holder reaches a target again.
    fleet.release('p1', SlotOutcome.Finished, 430)
    assert.deepEqual(describeDecisions(fleet.release('c1', SlotOutcome.Finished, 440)).filter(decision => decision.startsWith('grant')), ['grant c3', 'grant c4'])
  })

  it('limits a holder no longer that fails at new targets but holds a slot for as long as only an answer takes', () => {
    const fleet = createFleet()
    const cut = { holder: 'cut', patience: 1_000 }
    for (const [index, { id }] of targets.entries()) {
      fleet.request(request(`failed-${id}`, { ...cut, excluded: targets.filter(other => other.id !== id).map(other => other.id) }), index)
      fleet.release(`failed-${id}`, SlotOutcome.Unreachable, 10)
    }
    fleet.request(request('answering', cut), 400)
    fleet.request(request('c1', cut), 1_950)
    fleet.request(request('c2', cut), 1_950)
    assert.equal(targetOf(fleet.request(request('c3', cut), 1_950)), 'two')
  })

  it('grants the items of a holder that reaches targets again all free slots within two seconds, though none of them has ended', () => {
    const fleet = createFleet()
    const large = targets.map(target => ({ ...target, slots: 6 }))
    fleet.setTargets(large, 0)
    for (const { id } of targets) {
      fleet.request(request(`failed-${id}`, { ...batch, holder: 'cut', excluded: targets.filter(other => other.id !== id).map(other => other.id) }), 0)
      fleet.release(`failed-${id}`, SlotOutcome.Unreachable, 10)
    }
    const mendedAt = 400
    ;['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].forEach(permit => fleet.request(request(permit), mendedAt))
    const items = ['b1', 'b2', 'b3', 'b4', 'b5', 'b6']
    const granted = new Map<string, number>()
    const record = (decisions: readonly SlotDecision[], now: number): void => { decisions.forEach(({ permit }) => granted.set(permit, now - mendedAt)) }
    items.forEach(permit => { record(fleet.request(request(permit, { ...batch, holder: 'cut', due: 10_000 }), mendedAt), mendedAt) })
    for (let now = mendedAt; now <= mendedAt + 2_000; now += 25) {
      record(fleet.tick(now), now)
    }
    assert.deepEqual([...granted.keys()].sort(), items, JSON.stringify([...granted]))
  })

  // Load: connections of a cut-off instance are refused at once, while batch work fills the fleet.
  it('revokes batch slots twice a second at most for a holder that reaches no target, however soon its requests fail', () => {
    const fleet = createFleet()
    const cut = { holder: 'cut', patience: 1_000 }
    for (const { id } of targets) {
      fleet.request(request(`failed-${id}`, { ...cut, excluded: targets.filter(other => other.id !== id).map(other => other.id) }), 0)
      fleet.release(`failed-${id}`, SlotOutcome.Unreachable, 1)
    }
    for (const permit of ['b1', 'b2', 'b3', 'b4']) {
      fleet.request(request(permit, { ...batch, due: 10_000 }), 10)
    }
    const revokedBetween = (from: number, to: number): number => {
      let revoked = 0
      for (let now = from; now < to; now += 20) {
        const decisions = fleet.request(request(`c${now}`, cut), now)
        for (const { kind, permit } of decisions) {
          if (kind === DecisionKind.Revoke) {
            revoked += 1
            fleet.release(permit, SlotOutcome.Stopped, now)
            fleet.request(request(`again-${permit}`, { ...batch, due: 10_000 }), now)
          }
        }
        fleet.release(`c${now}`, SlotOutcome.Unreachable, now + 2)
      }
      return revoked
    }
    const revoked = revokedBetween(400, 1_400)
    assert.ok(revoked <= 2, `${revoked} revocations in a second`)
    assert.ok(revokedBetween(1_400, 2_400) >= 1)
  })
})
