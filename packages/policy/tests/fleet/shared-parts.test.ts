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
