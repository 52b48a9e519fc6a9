/** Tests which prompt parts are held back after crashes, without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { QuarantineAdmission, promptPartDigest, CrashQuarantine } from '../../src/index.js'
import type { QuarantineEntry } from '../../src/index.js'

const first = 'shared'
const crashing = 'crashing'
const parts = [first, crashing]

function admissionOf (quarantine: CrashQuarantine, now: number, of: readonly string[] = parts): QuarantineAdmission {
  return quarantine.decide(of, now).admission
}

/** Dispatches a request and lets its target crash; returns the time after it. */
function crash (quarantine: CrashQuarantine, number: number, now: number, of: readonly string[] = parts): number {
  quarantine.onDispatched(`p${number}`, of, now)
  quarantine.onCrashed(`p${number}`, { target: `t${number}`, parts: of }, now + 80)
  return now + 100
}

/** Returns a quarantine in which the crashing part is held back, and the time. */
function quarantined (): { readonly quarantine: CrashQuarantine, readonly now: number } {
  const quarantine = new CrashQuarantine()
  quarantine.onCompleted([first])
  let now = 0
  for (const number of [1, 2, 3]) {
    now = crash(quarantine, number, now)
  }
  return { quarantine, now }
}

describe('CrashQuarantine', () => {
  it('holds a part back after the third crash, and not the part that answered requests have in common with it', () => {
    const { quarantine, now } = quarantined()
    assert.equal(admissionOf(quarantine, now), QuarantineAdmission.Quarantined)
    assert.equal(admissionOf(quarantine, now, [first]), QuarantineAdmission.Admitted)
    assert.equal(admissionOf(quarantine, now, [first, 'other']), QuarantineAdmission.Admitted)
    assert.ok(quarantine.decide(parts, now).retryAfter > 0)
  })

  it('spares the part that all requests share although none was answered before', () => {
    const quarantine = new CrashQuarantine()
    let now = 0
    for (let number = 1; number <= 6; number += 1) {
      now = crash(quarantine, number, now)
    }
    assert.equal(admissionOf(quarantine, now), QuarantineAdmission.Quarantined)
    assert.equal(admissionOf(quarantine, now, [first, 'other']), QuarantineAdmission.Admitted)
  })

  it('lets one of the processes that share a part try it', () => {
    const { quarantine, now } = quarantined()
    const other = new CrashQuarantine()
    quarantine.onChange(entry => { other.merge(entry, now) })
    for (const entry of quarantine.entries(now)) {
      other.merge(entry, now)
    }
    const retryAt = now + quarantine.decide(parts, now).retryAfter
    assert.equal(admissionOf(other, retryAt), QuarantineAdmission.Admitted)
    quarantine.onDispatched('trial', parts, retryAt)
    assert.equal(admissionOf(other, retryAt + 10), QuarantineAdmission.Quarantined)
    assert.equal(admissionOf(other, retryAt + 5_000), QuarantineAdmission.Quarantined)
  })

  it('does not repeat a trial at once if its holder is lost', () => {
    const { quarantine, now } = quarantined()
    const retryAt = now + quarantine.decide(parts, now).retryAfter
    quarantine.onDispatched('trial', parts, retryAt)
    assert.equal(admissionOf(quarantine, retryAt + 5_000), QuarantineAdmission.Quarantined)
  })

  it('lets requests with a suspected part pass one at a time', () => {
    const quarantine = new CrashQuarantine()
    const now = crash(quarantine, 1, 0)
    assert.equal(admissionOf(quarantine, now), QuarantineAdmission.Admitted)
    quarantine.onDispatched('p2', parts, now)
    assert.equal(admissionOf(quarantine, now + 10), QuarantineAdmission.Busy)
    quarantine.onEnded('p2', parts, now + 20)
    assert.equal(admissionOf(quarantine, now + 20), QuarantineAdmission.Admitted)
  })

  it('does not block requests with a suspected part for ever if one of them never ends', () => {
    const quarantine = new CrashQuarantine()
    const now = crash(quarantine, 1, 0)
    quarantine.onDispatched('lost', parts, now)
    assert.equal(admissionOf(quarantine, now + 60_000), QuarantineAdmission.Admitted)
  })

  it('counts the requests that one crash interrupts as one crash', () => {
    const quarantine = new CrashQuarantine()
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      quarantine.onDispatched(permit, parts, 0)
    }
    for (const permit of ['p1', 'p2', 'p3', 'p4']) {
      quarantine.onCrashed(permit, { target: 't', parts }, 50)
    }
    assert.equal(admissionOf(quarantine, 100), QuarantineAdmission.Admitted)
  })

  it('clears a part with a complete answer', () => {
    const quarantine = new CrashQuarantine()
    crash(quarantine, 1, 0)
    const now = crash(quarantine, 2, 100)
    quarantine.onCompleted(parts)
    crash(quarantine, 3, now)
    assert.equal(admissionOf(quarantine, now + 200), QuarantineAdmission.Admitted)
  })

  it('does not hold back parts of answered requests when many targets crash at once', () => {
    const quarantine = new CrashQuarantine()
    quarantine.onCompleted(parts)
    for (let number = 0; number < 20; number += 1) {
      quarantine.onDispatched(`p${number}`, parts, number)
    }
    for (let number = 0; number < 20; number += 1) {
      quarantine.onCrashed(`p${number}`, { target: `t${number}`, parts }, 100 + number)
    }
    assert.equal(admissionOf(quarantine, 200), QuarantineAdmission.Admitted)
  })

  it('holds back a part of answered requests under which targets have begun to crash', () => {
    const quarantine = new CrashQuarantine()
    quarantine.onCompleted(parts)
    let now = 0
    for (let number = 1; number <= 6; number += 1) {
      now = crash(quarantine, number, now) + 200
    }
    assert.equal(admissionOf(quarantine, now), QuarantineAdmission.Quarantined)
  })

  it('tries a part again ever more rarely, three times in ten minutes at most after the first second', () => {
    const { quarantine, now: start } = quarantined()
    let trials = 0
    for (let now = start; now < start + 600_000; now += 50) {
      if (admissionOf(quarantine, now) === QuarantineAdmission.Admitted) {
        trials += 1
        quarantine.onDispatched(`trial${trials}`, parts, now)
        assert.equal(admissionOf(quarantine, now + 1), QuarantineAdmission.Quarantined)
        quarantine.onCrashed(`trial${trials}`, { target: `t${trials}`, parts }, now + 40)
      }
    }
    assert.ok(trials >= 2 && trials <= 4, `${trials} trials`)
  })

  it('ends a quarantine with the first complete answer of a trial', () => {
    const { quarantine, now } = quarantined()
    const retryAt = now + quarantine.decide(parts, now).retryAfter
    quarantine.onDispatched('trial', parts, retryAt)
    quarantine.onCompleted(parts)
    assert.equal(admissionOf(quarantine, retryAt + 100), QuarantineAdmission.Admitted)
    assert.deepEqual(quarantine.entries(retryAt + 100), [])
  })

  it('repeats a trial that was not answered for another reason than a crash', () => {
    const { quarantine, now } = quarantined()
    const retryAt = now + quarantine.decide(parts, now).retryAfter
    quarantine.onDispatched('trial', parts, retryAt)
    quarantine.onEnded('trial', parts, retryAt + 5)
    const again = quarantine.decide(parts, retryAt + 5)
    assert.equal(again.admission, QuarantineAdmission.Quarantined)
    assert.ok(again.retryAfter <= 1_000, `${again.retryAfter} ms until the next trial`)
  })

  it('tells others of each change, and adopts theirs in whatever order they arrive', () => {
    const changes: QuarantineEntry[] = []
    const owner = new CrashQuarantine()
    owner.onChange(entry => { changes.push(entry) })
    for (const number of [1, 2, 3]) {
      crash(owner, number, number * 100)
    }
    const retryAt = 380 + owner.decide(parts, 380).retryAfter
    owner.onDispatched('trial', parts, retryAt)
    owner.onCompleted(parts)
    assert.deepEqual(changes.map(({ digest, periods }) => [digest, periods]), [1, 2, 0].map(periods => [promptPartDigest(crashing), periods]))
    const inOrder = new CrashQuarantine()
    const reversed = new CrashQuarantine()
    for (const [index, entry] of changes.entries()) {
      inOrder.merge(entry, 400)
      reversed.merge(changes.at(-1 - index) ?? entry, 400)
      if (index === 1) {
        assert.equal(admissionOf(inOrder, 400), QuarantineAdmission.Quarantined)
      }
    }
    assert.equal(admissionOf(inOrder, 400), QuarantineAdmission.Admitted)
    assert.equal(admissionOf(reversed, 400), QuarantineAdmission.Admitted)
  })

  it('keeps what is in quarantine and a bounded number of suspicions, however many parts crash targets', () => {
    const { quarantine, now } = quarantined()
    for (let number = 0; number < 20_000; number += 1) {
      quarantine.onCrashed(`x${number}`, { target: `u${number}`, parts: [`invented-${number}`] }, now)
      quarantine.onCompleted([`answered-${number}`])
    }
    assert.equal(admissionOf(quarantine, now), QuarantineAdmission.Quarantined)
    assert.equal(admissionOf(quarantine, now, ['invented-0']), QuarantineAdmission.Admitted)
  })
})
