/** Tests which prompt parts are held back after crashes, without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { QuarantineAdmission, promptPartDigest, CrashQuarantine } from '../../src/index.js'
import type { QuarantineEntry, RequestContent } from '../../src/index.js'

const first = 'shared'
const crashing = 'crashing'
const parts = contentOf(first, crashing)

function contentOf (...parts: readonly string[]): RequestContent {
  return { parts, digest: '' }
}

function admissionOf (quarantine: CrashQuarantine, now: number, of = parts): QuarantineAdmission {
  return quarantine.decide(of, now).admission
}

/** Dispatches a request and lets its target crash; returns the time after it. */
function crash (quarantine: CrashQuarantine, number: number, now: number, of = parts): number {
  quarantine.onDispatched(`p${number}`, of, now)
  quarantine.onCrashed(`p${number}`, { target: `t${number}`, ...of }, now + 80)
  return now + 100
}

/** Returns a quarantine in which the crashing part is held back, and the time. */
function quarantined (): { readonly quarantine: CrashQuarantine, readonly now: number } {
  const quarantine = new CrashQuarantine()
  quarantine.onCompleted(contentOf(first))
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
    assert.equal(admissionOf(quarantine, now, contentOf(first)), QuarantineAdmission.Admitted)
    assert.equal(admissionOf(quarantine, now, contentOf(first, 'other')), QuarantineAdmission.Admitted)
    assert.ok(quarantine.decide(parts, now).retryAfter > 0)
  })

  it('spares the part that all requests share although none was answered before', () => {
    const quarantine = new CrashQuarantine()
    let now = 0
    for (let number = 1; number <= 6; number += 1) {
      now = crash(quarantine, number, now)
    }
    assert.equal(admissionOf(quarantine, now), QuarantineAdmission.Quarantined)
    assert.equal(admissionOf(quarantine, now, contentOf(first, 'other')), QuarantineAdmission.Admitted)
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
    quarantine.onEnded('p2', parts, now + 20, true)
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
      quarantine.onCrashed(permit, { target: 't', ...parts }, 50)
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
      quarantine.onCrashed(`p${number}`, { target: `t${number}`, ...parts }, 100 + number)
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
        quarantine.onCrashed(`trial${trials}`, { target: `t${trials}`, ...parts }, now + 40)
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

  it('repeats a trial that did not reach its target', () => {
    const { quarantine, now } = quarantined()
    const retryAt = now + quarantine.decide(parts, now).retryAfter
    quarantine.onDispatched('trial', parts, retryAt)
    quarantine.onEnded('trial', parts, retryAt + 5, false)
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
      quarantine.onCrashed(`x${number}`, { target: `u${number}`, ...contentOf(`invented-${number}`) }, now)
      quarantine.onCompleted(contentOf(`answered-${number}`))
    }
    assert.equal(admissionOf(quarantine, now), QuarantineAdmission.Quarantined)
    assert.equal(admissionOf(quarantine, now, contentOf('invented-0')), QuarantineAdmission.Admitted)
  })
})

describe('CrashQuarantine whose crash reports are withdrawn', () => {
  const request: RequestContent = { parts: [first, 'subject'], digest: 'request' }

  it('ends what is only due to them, and tells others', () => {
    const [owner, other] = [new CrashQuarantine(), new CrashQuarantine()]
    owner.onChange(entry => { other.merge(entry, 300) })
    let now = 0
    for (const number of [1, 2, 3]) {
      now = crash(owner, number, now, request)
    }
    assert.equal(admissionOf(other, now, request), QuarantineAdmission.Quarantined)
    owner.onWithdrawn('p2', { target: 't2', ...request }, now)
    assert.equal(admissionOf(owner, now, request), QuarantineAdmission.Admitted)
    assert.equal(admissionOf(other, now, request), QuarantineAdmission.Admitted)
  })

  it('keeps a crash that another request reported as well, and ignores reports that it does not know', () => {
    const quarantine = new CrashQuarantine()
    for (const number of [1, 2, 3]) {
      for (const holder of ['h', 'i']) {
        quarantine.onCrashed(`${holder}${number}`, { target: `t${number}`, ...request }, number * 100)
      }
    }
    for (const number of [1, 2, 3, 4]) {
      quarantine.onWithdrawn(`h${number}`, { target: `t${number}`, ...request }, 400)
      quarantine.onWithdrawn(`h${number}`, { target: `t${number}`, ...request }, 400)
    }
    assert.equal(admissionOf(quarantine, 400, request), QuarantineAdmission.Quarantined)
  })

  it('knows nothing against a request once all are withdrawn', () => {
    const quarantine = new CrashQuarantine()
    crash(quarantine, 1, 0, request)
    quarantine.onWithdrawn('p1', { target: 't1', ...request }, 100)
    assert.ok(!quarantine.isActive)
  })
})

describe('CrashQuarantine of whole requests', () => {
  const request: RequestContent = { parts: [first, 'subject'], digest: 'crashing-request' }
  const sound: RequestContent = { parts: [first, 'subject'], digest: 'sound-request' }

  it('holds a request back after the third crash, and neither its parts nor a request that shares them', () => {
    const quarantine = new CrashQuarantine()
    let now = 0
    for (const number of [1, 2, 3]) {
      assert.equal(admissionOf(quarantine, now, request), QuarantineAdmission.Admitted)
      now = crash(quarantine, number, now, request)
    }
    assert.equal(admissionOf(quarantine, now, request), QuarantineAdmission.Quarantined)
    assert.equal(admissionOf(quarantine, now, sound), QuarantineAdmission.Admitted)
  })

  it('never blames the parts of a request for its crashes, although these interrupt other requests with them and are reported in any order', () => {
    for (const isReportedFirst of [true, false]) {
      const quarantine = new CrashQuarantine()
      for (let number = 0; number < 12; number += 1) {
        const now = number * 2_000
        const bystander = { ...sound, digest: `bystander-${number}` }
        const reports = isReportedFirst ? [request, bystander] : [bystander, request]
        for (const content of reports) {
          quarantine.onDispatched(`${content.digest}-${number}`, content, now)
        }
        for (const content of reports) {
          quarantine.onCrashed(`${content.digest}-${number}`, { target: `t${number}`, ...content }, now + 50)
        }
        assert.equal(admissionOf(quarantine, now + 1_000, sound), QuarantineAdmission.Admitted, `after crash ${number}`)
      }
      assert.equal(admissionOf(quarantine, 24_000, request), QuarantineAdmission.Quarantined)
    }
  })

  it('spares a request that was interrupted by crashes of another one, which crashes targets without it as well', () => {
    const quarantine = new CrashQuarantine()
    crash(quarantine, 0, 0, request)
    for (const number of [1, 2, 3]) {
      const now = number * 200
      quarantine.onCrashed(`r${number}`, { target: `t${number}`, ...request }, now)
      quarantine.onCrashed(`s${number}`, { target: `t${number}`, ...sound }, now + 5)
    }
    assert.equal(admissionOf(quarantine, 610, request), QuarantineAdmission.Quarantined)
    assert.equal(admissionOf(quarantine, 610, sound), QuarantineAdmission.Admitted)
  })

  it('blames the part that different requests have in common, and few of these requests', () => {
    const quarantine = new CrashQuarantine()
    let now = 0
    for (let number = 1; number <= 6; number += 1) {
      now = crash(quarantine, number, now, { parts: [first, crashing], digest: `request-${number >> 1}` })
    }
    assert.equal(admissionOf(quarantine, now, { parts: [first, crashing], digest: 'another' }), QuarantineAdmission.Quarantined)
    assert.equal(admissionOf(quarantine, now, { parts: [first], digest: 'another' }), QuarantineAdmission.Admitted)
  })

  it('blames a part although one target serves all requests and each of them crashes it', () => {
    const quarantine = new CrashQuarantine()
    for (let number = 1; number <= 3; number += 1) {
      quarantine.onCrashed(`p${number}`, { target: 't', parts: [crashing], digest: `request-${number}` }, number * 1_100)
    }
    assert.equal(admissionOf(quarantine, 3_400, { parts: [crashing], digest: 'another' }), QuarantineAdmission.Quarantined)
  })

  it('tries a request three times at most in ten minutes, from three seconds after its third crash on', () => {
    for (const isProven of [false, true]) {
      const quarantine = new CrashQuarantine()
      if (isProven) {
        quarantine.onCompleted(request)
      }
      const arrivals: number[] = []
      for (let now = 0; now < 600_000; now += 50) {
        if (admissionOf(quarantine, now, request) === QuarantineAdmission.Admitted) {
          arrivals.push(now)
          quarantine.onDispatched(`a${now}`, request, now)
          quarantine.onCrashed(`a${now}`, { target: `t${now}`, ...request }, now + 40)
        }
      }
      const later = arrivals.filter(at => at > (arrivals[2] ?? Infinity) + 3_000)
      assert.ok(later.length >= 1 && later.length <= 3, `${later.length} later arrivals: ${arrivals.join()}`)
    }
  })

  it('does not repeat a trial that its caller gave up after it may have reached the target', () => {
    const quarantine = new CrashQuarantine()
    let now = 0
    for (const number of [1, 2, 3]) {
      now = crash(quarantine, number, now, request)
    }
    now += quarantine.decide(request, now).retryAfter
    quarantine.onDispatched('trial', request, now)
    quarantine.onEnded('trial', request, now + 5, true)
    assert.ok(quarantine.decide(request, now + 5).retryAfter > 7_000)
  })

  it('repeats a trial that does not reach its target three times at most', () => {
    const quarantine = new CrashQuarantine()
    let now = 0
    for (const number of [1, 2, 3]) {
      now = crash(quarantine, number, now, request)
    }
    const waits: number[] = []
    for (let trial = 0; trial < 5; trial += 1) {
      now += quarantine.decide(request, now).retryAfter
      quarantine.onDispatched(`trial${trial}`, request, now)
      quarantine.onEnded(`trial${trial}`, request, now + 5, false)
      waits.push(Math.round(quarantine.decide(request, now + 5).retryAfter / 1_000))
    }
    assert.deepEqual(waits, [1, 1, 1, 8, 64])
  })

  it('does not hold a request back that many targets were answering when they crashed at once, and admits it at once after one answer', () => {
    const quarantine = new CrashQuarantine()
    quarantine.onCompleted(sound)
    for (let number = 0; number < 8; number += 1) {
      quarantine.onCrashed(`p${number}`, { target: `t${number}`, ...sound }, number * 10)
    }
    assert.equal(admissionOf(quarantine, 500, sound), QuarantineAdmission.Admitted)
    quarantine.onCompleted(sound)
    assert.equal(admissionOf(quarantine, 60_000, sound), QuarantineAdmission.Admitted)
  })

  it('is begun by a successor that was told of the crashes before', () => {
    const [owner, successor] = [new CrashQuarantine(), new CrashQuarantine()]
    owner.onChange(entry => { successor.merge(entry, 0) })
    crash(owner, 1, 0, request)
    crash(owner, 2, 100, request)
    assert.equal(admissionOf(successor, 200, request), QuarantineAdmission.Admitted)
    crash(successor, 3, 200, request)
    assert.equal(admissionOf(successor, 300, request), QuarantineAdmission.Quarantined)
  })

  it('forgets the crashes at successors as well once the request is answered', () => {
    const [owner, successor] = [new CrashQuarantine(), new CrashQuarantine()]
    owner.onChange(entry => { successor.merge(entry, 0) })
    crash(owner, 1, 0, request)
    crash(owner, 2, 100, request)
    owner.onCompleted(request)
    assert.ok(!successor.isActive)
    crash(successor, 3, 200, request)
    assert.equal(admissionOf(successor, 300, request), QuarantineAdmission.Admitted)
  })
})
