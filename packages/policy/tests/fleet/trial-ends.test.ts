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
    this.quarantine.onTrialEnded(({ end, digest }) => {
      assert.equal(digest, promptPartDigest(shared))
      this.ends.push(end)
    })
  }

  setTargets (targets: readonly FleetTarget[], now: number): void {
    this.#fleet.setTargets(targets, now)
  }

  /** Requests a slot and returns its target, or null if the part is held back. */
  request (permit: string, now: number, holder = 'h'): string | null {
    const [decision] = this.#fleet.request({ permit, holder, workClass: WorkClass.Online, zone: 'a', prefix: [shared], digest: permit, excluded: [], continues: null, patience: 100, spent: 0, latestReturn: 500, due: 0, ran: 0, sinceStart: 0 }, now)
    return decision?.kind === DecisionKind.Grant ? decision.target : null
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
