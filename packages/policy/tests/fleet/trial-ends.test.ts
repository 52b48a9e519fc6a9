/** Tests what is made of the ends of trials of quarantined content that do not come to the process which granted them; without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { CrashQuarantine, DecisionKind, defaultFleetAdmissionOptions, FleetAdmission, promptPartDigest, QuarantineAdmission, SlotOutcome, TrialEnd } from '../../src/index.js'
import type { CrashReport, FleetTarget } from '../../src/index.js'

const shared = 'shared'
const targetIds = ['t0', 't1', 't2', 't3']
const trialAt = 1_500

function targetOf (id: string, born = 1): FleetTarget {
  return { id, address: `${id}:1`, zone: 'a', slots: 3, born, softwareVersion: 'v1', leaving: false, accepting: true }
}

/** An owner that holds the part of all requests back, whose trial is due. */
class TrialOwner {
  readonly quarantine = new CrashQuarantine()
  readonly ends: TrialEnd[] = []
  readonly #fleet = new FleetAdmission(defaultFleetAdmissionOptions, this.quarantine)

  constructor () {
    this.setTargets(targetIds.map(id => targetOf(id)), 0)
    for (const [index, target] of targetIds.slice(0, 3).entries()) {
      this.quarantine.onCrashed(`first-${index}`, this.reportOf(target, `first-${index}`), index)
    }
    this.quarantine.onTrialEnded(({ end }) => { this.ends.push(end) })
  }

  setTargets (targets: readonly FleetTarget[], now: number): void {
    this.#fleet.setTargets(targets, now)
  }

  /** Requests a slot and returns its target, or null if the part is held back. */
  request (permit: string, now: number, holder = 'h', prefix: readonly string[] = [shared], excluded: readonly string[] = []): string | null {
    const [decision] = this.#fleet.request({ permit, holder, workClass: WorkClass.Online, zone: 'a', prefix, digest: permit, excluded, continues: null, patience: 100, spent: 0, latestReturn: 500, due: 0, ran: 0, sinceStart: 0 }, now)
    return decision?.kind === DecisionKind.Grant ? decision.target : null
  }

  /** Dispatches a request without the part to a target. */
  dispatchOther (permit: string, target: string, now: number, holder = 'other'): void {
    assert.equal(this.request(permit, now, holder, [], targetIds.filter(id => id !== target)), target)
  }

  trial (): string {
    const target = this.request('trial', trialAt)
    assert.ok(target !== null, 'the trial was not granted')
    return target
  }

  release (permit: string, outcome: SlotOutcome, now: number, crash: CrashReport | null = null): void {
    this.#fleet.release(permit, outcome, now, crash)
  }

  /** Records a report of a holder that has no slots. */
  reportNone (now: number): void {
    this.#fleet.synchronize('h', [], now)
  }

  loseHolder (now: number): void {
    this.#fleet.removeHolder('h', now)
  }

  reportOf (target: string, digest: string): CrashReport {
    return { target, parts: [shared], digest }
  }

  isHeldBack (now: number): boolean {
    return this.quarantine.decide({ parts: [shared], digest: 'next' }, now).admission === QuarantineAdmission.Quarantined
  }
}

describe('the end of a trial', () => {
  const ends: ReadonlyArray<readonly [TrialEnd, (owner: TrialOwner, target: string) => void]> = [
    [TrialEnd.Answered, owner => { owner.release('trial', SlotOutcome.Finished, trialAt + 100) }],
    [TrialEnd.Interrupted, (owner, target) => { owner.release('trial', SlotOutcome.Crashed, trialAt + 100, owner.reportOf(target, 'trial')) }],
    [TrialEnd.Stopped, owner => { owner.release('trial', SlotOutcome.Stopped, trialAt + 100) }],
    [TrialEnd.NotRun, owner => { owner.release('trial', SlotOutcome.Unreachable, trialAt + 100) }],
    [TrialEnd.Unreported, owner => { owner.reportNone(trialAt + 500) }],
    [TrialEnd.HolderLost, owner => { owner.loseHolder(trialAt + 500) }],
    [TrialEnd.Superseded, ({ quarantine }) => { quarantine.merge({ digest: promptPartDigest(shared), version: 9, periods: 3, remaining: 9_000 }, trialAt) }]
  ]
  for (const [end, play] of ends) {
    it(`is told once if it is ${end}`, () => {
      const owner = new TrialOwner()
      const target = owner.trial()
      play(owner, target)
      assert.deepEqual(owner.ends, [end])
    })
  }
})

describe('trials that never ran', () => {
  it('count as nothing, however many there are', () => {
    const owner = new TrialOwner()
    for (let number = 0; number < 6; number += 1) {
      const at = trialAt + number * 1_100
      assert.notEqual(owner.request(`trial-${number}`, at), null)
      owner.release(`trial-${number}`, SlotOutcome.NotRun, at + 10)
      assert.ok(owner.isHeldBack(at + 900))
    }
    assert.ok(owner.ends.length === 6 && owner.ends.every(end => end === TrialEnd.NotRun))
  })
})

describe('a trial of a part whose end does not come to the process that granted it', () => {
  const losses: ReadonlyArray<readonly [string, (owner: TrialOwner, now: number) => void]> = [
    ['its holder was killed', (owner, now) => { owner.loseHolder(now) }],
    ['its release was lost or went to another owner', (owner, now) => { owner.reportNone(now) }]
  ]

  it('does not hold the part back like a crash if its holder asks again because it has not got the grant, and the target leaves meanwhile', () => {
    const owner = new TrialOwner()
    owner.trial()
    owner.setTargets(targetIds.map(id => ({ ...targetOf(id), accepting: false })), trialAt + 50)
    assert.equal(owner.request('trial', trialAt + 100), null)
    assert.deepEqual(owner.ends, [TrialEnd.Unreported])
    assert.ok(!owner.isHeldBack(trialAt + 1_100))
  })

  for (const [name, lose] of losses) {
    const lostAt = trialAt + 900

    it(`does not hold the part back like a crash if ${name}`, () => {
      const owner = new TrialOwner()
      owner.trial()
      lose(owner, lostAt)
      assert.ok(owner.isHeldBack(lostAt + 900))
      assert.notEqual(owner.request('next', lostAt + 1_000, 'other'), null)
    })

    it(`holds it back like a crash if ${name} and its target has started again`, () => {
      const owner = new TrialOwner()
      const target = owner.trial()
      owner.setTargets(targetIds.map(id => targetOf(id, id === target ? 2 : 1)), lostAt - 10)
      lose(owner, lostAt)
      assert.ok(owner.isHeldBack(trialAt + 7_900))
    })

    it(`holds it back like a crash if ${name} and its target is gone`, () => {
      const owner = new TrialOwner()
      const target = owner.trial()
      owner.setTargets(targetIds.filter(id => id !== target).map(id => targetOf(id)), lostAt - 10)
      lose(owner, lostAt)
      assert.ok(owner.isHeldBack(trialAt + 7_900))
    })

    it(`holds it back like a crash if ${name} and another request was interrupted on its target`, () => {
      const owner = new TrialOwner()
      const target = owner.trial()
      owner.dispatchOther('bystander', target, trialAt + 10)
      owner.release('bystander', SlotOutcome.Crashed, trialAt + 100, { target, parts: [], digest: 'bystander' })
      lose(owner, lostAt)
      assert.ok(owner.isHeldBack(trialAt + 7_900))
    })
  }

  it('reaches targets three times at most in the ten minutes after the bound, whichever trials crash targets and whichever ends are lost', () => {
    for (const lostAfter of [20, 400, 1_300, 3_000]) {
      for (let pattern = 0; pattern < 3 ** 5; pattern += 1) {
        const ends = Array.from({ length: 5 }, (_, index) => ['crash', 'stop', 'lose'][Math.floor(pattern / 3 ** index) % 3] ?? 'lose')
        const late = playEnds(ends, lostAfter, 603_000).filter(at => at > 3_000)
        assert.ok(late.length >= 1 && late.length <= 3, `${late.length} with ${ends.join()}, lost after ${lostAfter} ms: ${late.join()}`)
      }
    }
  })
})

/** Returns the times of trials, each of which crashes its target, is given up by its caller, or ends in a way that is not told. */
function playEnds (ends: readonly string[], lostAfter: number, milliseconds: number): readonly number[] {
  const quarantine = new CrashQuarantine()
  for (const target of targetIds.slice(0, 3)) {
    quarantine.onCrashed(`first-${target}`, { target, parts: [shared], digest: `first-${target}` }, 0)
  }
  const trials: number[] = []
  const lost: Array<{ readonly permit: string, readonly at: number }> = []
  let now = 20
  while (now < milliseconds) {
    for (const { permit } of lost.filter(({ at }) => at === now)) {
      quarantine.onEndLost({ permit, digest: permit }, TrialEnd.HolderLost, false, now)
    }
    const permit = `trial-${now}`
    const content = { parts: [shared], digest: permit }
    const { admission, retryAfter } = quarantine.decide(content, now)
    if (admission !== QuarantineAdmission.Admitted) {
      const current = now
      now = Math.min(current + Math.max(1, retryAfter), ...lost.flatMap(({ at }) => at > current ? [at] : []))
      continue
    }
    const end = ends[trials.length] ?? ends.at(-1)
    trials.push(now)
    quarantine.onDispatched(permit, content, now)
    if (end === 'lose') {
      lost.push({ permit, at: now + lostAfter })
      continue
    }
    quarantine.onEnded(permit, content, now + 10, true, end === 'crash')
    if (end === 'crash') {
      quarantine.onCrashed(permit, { target: permit, ...content }, now + 10)
    }
  }
  return trials
}

describe('a trial of a whole request whose end does not come to the process that granted it', () => {
  it('is not repeated before the next period', () => {
    const owner = new TrialOwner()
    for (const target of targetIds.slice(0, 3)) {
      owner.quarantine.onCrashed(`deadly-${target}`, { target, parts: [], digest: 'deadly' }, 0)
    }
    owner.dispatchOther('deadly', 't3', trialAt, 'h')
    owner.loseHolder(trialAt + 900)
    assert.equal(owner.quarantine.decide({ parts: [], digest: 'deadly' }, trialAt + 7_900).admission, QuarantineAdmission.Quarantined)
  })
})
