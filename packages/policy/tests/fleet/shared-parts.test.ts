/** Tests that a prompt part which all requests share is not held back for long by mistake, although no answer with it is remembered; without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { CrashQuarantine, DecisionKind, defaultFleetAdmissionOptions, FleetAdmission, QuarantineAdmission, RefusalReason, SlotOutcome } from '../../src/index.js'
import type { RequestContent, SlotDecision, SlotRequest } from '../../src/index.js'

const shared = 'shared'
const targetIds = ['t0', 't1', 't2', 't3', 't4', 't5']

function contentOf (digest: string): RequestContent {
  return { parts: [shared], digest }
}

/** Reports that a target crashed under a request, as holders do some time after it. */
function crash (quarantine: CrashQuarantine, content: RequestContent, target: string, now: number): void {
  quarantine.onCrashed(`${content.digest}/${target}`, { target, ...content }, now)
}

function isHeldBack (quarantine: CrashQuarantine, now: number): boolean {
  return quarantine.decide(contentOf('next'), now).admission === QuarantineAdmission.Quarantined
}

/** A new owner of slots, after all processes were killed. */
class NewOwner {
  readonly quarantine = new CrashQuarantine()
  readonly #fleet = new FleetAdmission(defaultFleetAdmissionOptions, this.quarantine)
  readonly #contents = new Map<string, { readonly target: string, readonly content: RequestContent }>()

  constructor () {
    this.#fleet.setTargets(targetIds.map(id => ({ id, address: `${id}:1`, zone: 'a', slots: 3, born: 1, softwareVersion: 'v1', leaving: false, accepting: true })), 0)
  }

  request (holder: string, permit: string, now: number, excluded: readonly string[] = [], patience = 100): SlotDecision | undefined {
    const content = contentOf(permit)
    const request: SlotRequest = { permit, holder, workClass: WorkClass.Online, zone: 'a', prefix: content.parts, digest: content.digest, excluded, continues: null, patience, spent: 0, latestReturn: 500, due: 0, ran: 0, sinceStart: 0 }
    const decisions = this.#fleet.request(request, now)
    return this.#apply(decisions).find(decision => decision.permit === permit)
  }

  tick (now: number): readonly SlotDecision[] {
    return this.#apply(this.#fleet.tick(now))
  }

  end (permit: string, outcome: SlotOutcome, now: number): void {
    const known = this.#contents.get(permit)
    assert.ok(known !== undefined, `${permit} was not granted`)
    this.#apply(this.#fleet.release(permit, outcome, now, outcome === SlotOutcome.Crashed ? { target: known.target, ...known.content } : null))
  }

  /** Lets the connections of a holder break under different requests, so that the part is held back; returns the time. */
  breakConnections (holder: string): number {
    for (const [index, target] of targetIds.slice(0, 3).entries()) {
      const permit = `${holder}-${index}`
      // The part passes once in half a second while it is suspected.
      const decision = this.request(holder, permit, index * 600, targetIds.filter(id => id !== target))
      assert.equal(decision?.kind, DecisionKind.Grant)
      this.end(permit, SlotOutcome.Crashed, index * 600 + 50)
    }
    const now = 2 * 600 + 50
    assert.ok(isHeldBack(this.quarantine, now))
    return now
  }

  #apply (decisions: readonly SlotDecision[]): readonly SlotDecision[] {
    for (const decision of decisions) {
      if (decision.kind === DecisionKind.Grant) {
        this.#contents.set(decision.permit, { target: decision.target, content: contentOf(decision.permit) })
      }
    }
    return decisions
  }
}

describe('a part that all requests share', () => {
  it('is no longer held back once late reports show the request that crashed the targets', () => {
    const quarantine = new CrashQuarantine()
    const ends: number[] = []
    const other = new CrashQuarantine()
    const late = new CrashQuarantine()
    quarantine.onChange((entry, isQuarantine) => {
      if (isQuarantine) {
        ends.push(entry.periods)
        other.merge(entry, 0)
      }
    })
    const deadly = { parts: [], digest: 'deadly' }
    crash(quarantine, contentOf('first'), 't0', 0)
    crash(quarantine, contentOf('second'), 't1', 100)
    crash(quarantine, contentOf('third'), 't2', 200)
    assert.ok(isHeldBack(quarantine, 200))
    crash(quarantine, deadly, 't1', 300)
    assert.ok(isHeldBack(quarantine, 300), 'a request that one of three crashes has interrupted explains them')
    crash(quarantine, deadly, 't2', 320)
    assert.ok(!isHeldBack(quarantine, 320))
    assert.deepEqual(ends, [1, 0])
    quarantine.cleared().forEach(entry => { late.merge(entry, 320) })
    assert.ok(!other.isActive && !late.isActive)
    crash(quarantine, deadly, 't3', 900)
    assert.equal(quarantine.decide(deadly, 900).admission, QuarantineAdmission.Quarantined)
  })

  it('stays held back if only single ones of its requests come again', () => {
    const quarantine = new CrashQuarantine()
    for (const [index, digest] of ['first', 'second', 'third', 'third'].entries()) {
      crash(quarantine, contentOf(digest), `t${index}`, index * 100)
    }
    assert.ok(isHeldBack(quarantine, 300))
  })

  it('stays held back at a successor that knows too few of the crashes to tell', () => {
    const quarantine = new CrashQuarantine()
    const successor = new CrashQuarantine()
    quarantine.onChange(entry => { successor.merge(entry, 200) })
    for (const [index, digest] of ['first', 'second', 'third'].entries()) {
      crash(quarantine, contentOf(digest), `t${index}`, index * 100)
    }
    crash(successor, contentOf('fourth'), 't3', 300)
    crash(successor, { parts: [], digest: 'bystander' }, 't3', 310)
    assert.ok(isHeldBack(successor, 310))
  })

  it('counts as answered before at a process that had its own requests answered, once that owns the slots', () => {
    const quarantine = new CrashQuarantine()
    quarantine.rememberAnswered(contentOf('earlier'))
    for (const [index, digest] of ['first', 'second', 'third', 'fourth'].entries()) {
      crash(quarantine, contentOf(digest), `t${index}`, index * 100)
    }
    assert.ok(!isHeldBack(quarantine, 400))
    crash(quarantine, contentOf('fifth'), 't4', 1_100)
    assert.ok(isHeldBack(quarantine, 1_100), 'the crashes count none the less')
  })

  it('counts as answered before at a new owner that another process tells of it', () => {
    const process = new CrashQuarantine()
    const newOwner = new CrashQuarantine()
    for (let number = 0; number < 100; number += 1) {
      process.rememberAnswered({ parts: [shared, `own-${number}`], digest: `${number}` })
    }
    const told = process.answered()
    assert.equal(told.length, 24)
    told.forEach(entry => { newOwner.merge(entry, 0) })
    assert.deepEqual(newOwner.entries(0), [])
    for (const [index, digest] of ['first', 'second', 'third', 'fourth'].entries()) {
      crash(newOwner, contentOf(digest), `t${index}`, index * 100)
    }
    assert.ok(!isHeldBack(newOwner, 400))
  })

  for (const [name, remember] of [
    ['another process tells of it', (quarantine: CrashQuarantine) => {
      const process = new CrashQuarantine()
      process.rememberAnswered(contentOf('earlier'))
      process.answered().forEach(entry => { quarantine.merge(entry, 150) })
    }],
    ['a request of its own process was answered', (quarantine: CrashQuarantine) => { quarantine.rememberAnswered(contentOf('earlier')) }]
  ] as const) {
    it(`counts as answered before at an owner that suspects it already when ${name}`, () => {
      const quarantine = new CrashQuarantine()
      for (const [index, digest] of ['first', 'second', 'third', 'fourth'].entries()) {
        crash(quarantine, contentOf(digest), `t${index}`, index * 100)
        if (index === 1) {
          remember(quarantine)
        }
      }
      assert.ok(!isHeldBack(quarantine, 400))
      crash(quarantine, contentOf('fifth'), 't4', 1_100)
      assert.ok(isHeldBack(quarantine, 1_100), 'the crashes count none the less')
    })
  }

  it('stays held back at a new owner that is told that it was answered before', () => {
    const newOwner = new CrashQuarantine()
    const process = new CrashQuarantine()
    process.rememberAnswered(contentOf('earlier'))
    for (const [index, digest] of ['first', 'second', 'third'].entries()) {
      crash(newOwner, contentOf(digest), `t${index}`, index * 100)
    }
    process.answered().forEach(entry => { newOwner.merge(entry, 200) })
    assert.ok(isHeldBack(newOwner, 200))
  })

  it('is not cleared by answers that another process decided on', () => {
    const quarantine = new CrashQuarantine()
    for (const [index, digest] of ['first', 'second', 'third'].entries()) {
      crash(quarantine, contentOf(digest), `t${index}`, index * 100)
    }
    quarantine.rememberAnswered(contentOf('earlier'))
    assert.ok(isHeldBack(quarantine, 300))
  })
})

/** Returns the times of trials in the time after the bound, and whether each of the first ones crashes its target or is given up by its caller. */
function playTrials (endings: readonly boolean[], milliseconds: number): readonly number[] {
  const quarantine = new CrashQuarantine()
  for (const [index, digest] of ['first', 'second', 'third'].entries()) {
    crash(quarantine, contentOf(digest), `t${index}`, index * 10)
  }
  const trials: number[] = []
  for (let now = 20; now < milliseconds; now += 20) {
    const content = contentOf(`trial-${now}`)
    if (quarantine.decide(content, now).admission !== QuarantineAdmission.Admitted) {
      continue
    }
    const crashes = endings[trials.length] ?? endings.at(-1) ?? false
    trials.push(now)
    quarantine.onDispatched(content.digest, content, now)
    quarantine.onEnded(content.digest, content, now + 10, true, crashes)
    if (crashes) {
      quarantine.onCrashed(content.digest, { target: `trial-${now}`, ...content }, now + 10)
    }
  }
  return trials
}

describe('trials of a part', () => {
  it('follow each other soon if their callers give them up', () => {
    assert.deepEqual(playTrials([false], 20_000).map(at => Math.round(at / 1_000)), [1, 2, 10])
  })

  it('follow each other within ten minutes however many of them callers give up', () => {
    assert.deepEqual(playTrials([false], 1_300_000).map(at => Math.round(at / 1_000)), [1, 2, 10, 74, 674, 1_274])
  })

  it('reach targets three times at most in the ten minutes after the bound, whichever of them crash targets and whichever callers give up', () => {
    for (let pattern = 0; pattern < 32; pattern += 1) {
      const endings = Array.from({ length: 5 }, (_, index) => (pattern >> index) % 2 === 1)
      const late = playTrials(endings, 603_000).filter(at => at > 3_000)
      assert.ok(late.length <= 3, `${late.length} with ${endings.join()}: ${late.join()}`)
    }
  })

  it('of a whole request are not repeated if their callers give them up', () => {
    const quarantine = new CrashQuarantine()
    const request = { parts: [], digest: 'deadly' }
    for (const target of ['t0', 't1', 't2']) {
      crash(quarantine, request, target, 0)
    }
    quarantine.onDispatched('trial', request, 1_000)
    quarantine.onEnded('trial', request, 1_010, true, false)
    assert.equal(quarantine.decide(request, 8_900).admission, QuarantineAdmission.Quarantined)
  })

  it('that callers give up do not cost a part the next seconds', () => {
    const owner = new NewOwner()
    const due = owner.breakConnections('cut') + 1_000
    assert.equal(owner.request('other', 'given-up', due)?.kind, DecisionKind.Grant)
    owner.end('given-up', SlotOutcome.Stopped, due + 50)
    assert.equal(owner.request('other', 'early', due + 900)?.kind, DecisionKind.Refuse)
    assert.equal(owner.request('other', 'next', due + 1_060)?.kind, DecisionKind.Grant)
  })

  it('under which targets crash do', () => {
    const owner = new NewOwner()
    const due = owner.breakConnections('cut') + 1_000
    assert.equal(owner.request('other', 'trial', due)?.kind, DecisionKind.Grant)
    owner.end('trial', SlotOutcome.Crashed, due + 50)
    assert.equal(owner.request('other', 'early', due + 7_900)?.kind, DecisionKind.Refuse)
  })
})

describe('the trial of a part that broken connections hold back after all processes were killed', () => {
  it('is left to a holder that has not failed, and its answer ends the quarantine', () => {
    const owner = new NewOwner()
    const due = owner.breakConnections('cut') + 1_000
    assert.equal(owner.request('cut', 'of-cut', due, [], 1_000)?.kind, undefined)
    assert.equal(owner.request('other', 'of-other', due + 20)?.kind, DecisionKind.Grant)
    owner.end('of-other', SlotOutcome.Finished, due + 220)
    assert.equal(owner.request('cut', 'later', due + 230)?.kind, DecisionKind.Grant)
  })

  it('tells callers of a holder that has failed to come back once it may try', () => {
    const owner = new NewOwner()
    const due = owner.breakConnections('cut') + 1_000
    const decision = owner.request('cut', 'of-cut', due, [], -1)
    assert.ok(decision?.kind === DecisionKind.Refuse && decision.reason === RefusalReason.Quarantined)
    assert.equal(decision.retryAfter, 1_000)
  })

  it('falls to a holder that has failed if no other one has a request for a second', () => {
    const owner = new NewOwner()
    const due = owner.breakConnections('only') + 1_000
    assert.equal(owner.request('only', 'trial', due, [], 2_000)?.kind, undefined)
    assert.deepEqual(owner.tick(due + 990).map(({ kind }) => kind), [])
    assert.deepEqual(owner.tick(due + 1_000).map(({ kind }) => kind), [DecisionKind.Grant])
  })

  it('is of a holder that has reached a target since its failure', () => {
    const owner = new NewOwner()
    const before = owner.request('cut', 'before', 0, ['t0', 't1', 't2'])
    assert.equal(before?.kind, DecisionKind.Grant)
    const now = owner.breakConnections('cut')
    owner.end('before', SlotOutcome.Unsuccessful, now + 10)
    assert.equal(owner.request('cut', 'trial', now + 1_000)?.kind, DecisionKind.Grant)
  })
})
