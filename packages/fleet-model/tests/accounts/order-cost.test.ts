/** Tests what a decision costs while many online requests of client accounts wait. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DecisionKind, FleetAdmission, SlotOutcome } from '@arbutusloft/policy'
import type { SlotDecision, SlotRequest } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'

const [targets, slots, holders] = [63, 8, 61]
const holdMilliseconds = 650
const tickMilliseconds = 25

/** Counts how often the queue examines a request: each examination reads whether it continues a stream or how long it may wait. */
class Examinations {
  count = 0

  requestOf (sequence: number, account: string | null, rank: number, now: number): SlotRequest {
    const examine = (): void => { this.count += 1 }
    // Long enough that none is late, refused or displaced, so that as many wait all the time.
    const patience = 3_600_000
    return {
      permit: `p${sequence}`,
      holder: `h${sequence % holders}`,
      workClass: WorkClass.Online,
      zone: 'a',
      prefix: [],
      digest: '',
      excluded: [],
      get continues () {
        examine()
        return null
      },
      get patience () {
        examine()
        return patience
      },
      spent: 0,
      latestReturn: now,
      due: 0,
      ran: 0,
      sinceStart: 0,
      ...(account === null ? {} : { caller: { account, rank, tokens: 1_000, isCounted: false } })
    }
  }
}

/** Returns the examinations of requests by a decision, per waiting request, while this many wait for 3 s. */
function costOf (waiting: number, accounts: number): number {
  const examinations = new Examinations()
  const fleet = new FleetAdmission()
  fleet.setTargets(Array.from({ length: targets }, (_, index) => {
    return { id: `t${index}`, address: '', zone: 'a', slots, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }
  }), 0)
  const running: Array<{ readonly permit: string, readonly until: number }> = []
  let [asked, grants, decisions] = [0, 0, 0]
  const apply = (made: readonly SlotDecision[], now: number): void => {
    decisions += 1
    for (const { permit } of made.filter(({ kind }) => kind === DecisionKind.Grant)) {
      grants += 1
      // Spreads the first ends, so that slots become free one by one.
      running.push({ permit, until: now + (grants <= targets * slots ? 1 + grants * holdMilliseconds / (targets * slots) : holdMilliseconds) })
    }
  }
  for (let now = 0; now < 3_000; now += tickMilliseconds) {
    for (const { permit } of running.filter(({ until }) => until <= now)) {
      apply(fleet.release(permit, SlotOutcome.Finished, now), now)
    }
    running.splice(0, running.length, ...running.filter(({ until }) => until > now))
    while (asked - grants < waiting) {
      asked += 1
      apply(fleet.request(examinations.requestOf(asked, accounts === 0 ? null : `account-${asked % accounts}`, asked % 3, now), now), now)
    }
    apply(fleet.tick(now), now)
    if (now === 0) {
      // The requests that fill the queue are not counted.
      examinations.count = 0
      decisions = 0
    }
  }
  assert.ok(grants > targets * slots * 4, `${grants} granted`)
  return examinations.count / decisions / waiting
}

describe('a decision on requests of client accounts', () => {
  it('examines no waiting request more often than one on requests without accounts does, by more than the place of a newcomer needs', () => {
    const [without, withAccounts] = [costOf(1_000, 0), costOf(1_000, 73)]
    assert.ok(withAccounts < without * 2, `${withAccounts} and ${without} examinations of each waiting request`)
  })

  it('examines each waiting request as often with 2,000 as with 500, and with 1,000 accounts as with 10', () => {
    const [few, many] = [costOf(500, 73), costOf(2_000, 73)]
    assert.ok(many < few * 1.25, `${many} and ${few}`)
    const [fewAccounts, manyAccounts] = [costOf(1_000, 10), costOf(1_000, 1_000)]
    assert.ok(manyAccounts < fewAccounts * 1.25, `${manyAccounts} and ${fewAccounts}`)
  })
})
