/** Tests that a prompt part which all requests share is not held back for long by mistake, although no answer with it is remembered; without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CrashQuarantine, QuarantineAdmission } from '../../src/index.js'
import type { RequestContent } from '../../src/index.js'

const shared = 'shared'

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
