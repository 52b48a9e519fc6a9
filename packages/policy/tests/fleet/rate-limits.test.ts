/** Tests that fleet admission keeps targets within their rate limits, and what callers get meanwhile. */
import assert from 'node:assert/strict'
import { describe, it, mock } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { CrashQuarantine, DecisionKind, defaultFleetAdmissionOptions, FleetAdmission, RefusalReason, SlotOutcome, TargetRateLimits } from '../../src/index.js'
import type { FleetTarget, SlotDecision, SlotRequest } from '../../src/index.js'

const batch = { workClass: WorkClass.Batch }
const tickMilliseconds = 25

function targetsOf (...ids: readonly string[]): readonly FleetTarget[] {
  return ids.map(id => ({ id, address: id, zone: 'a', slots: 8, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }))
}

function request (permit: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return { permit, holder: 'h', workClass: WorkClass.Online, zone: 'a', prefix: [], digest: '', excluded: [], continues: null, patience: 200, spent: 0, latestReturn: 1_000, due: 0, ran: 0, sinceStart: 0, ...overrides }
}

/** A fleet, and the limits that its targets name. */
class LimitedFleet {
  readonly limits = new TargetRateLimits()
  readonly fleet = new FleetAdmission({ ...defaultFleetAdmissionOptions, headroom: 0 }, new CrashQuarantine(), this.limits)
  /** Times of the grants of each target. */
  readonly grants = new Map<string, number[]>()
  readonly refusals: Array<{ readonly permit: string, readonly at: number, readonly retryAfter: number, readonly reason: RefusalReason }> = []
  readonly revoked: string[] = []
  #permits = 0

  constructor (...targets: readonly string[]) {
    this.fleet.setTargets(targetsOf(...targets), 0)
  }

  name (target: string, requestsPerSecond: number | null, now: number, permit: string | null = null): void {
    this.limits.observe({ service: 's', target, born: 1, requestsPerSecond, sentAgo: 0, heardAgo: 0 }, now)
    this.apply(this.fleet.onRateLimit(target, permit, now), now)
  }

  ask (now: number, overrides: Partial<SlotRequest> = {}): void {
    this.#permits += 1
    this.apply(this.fleet.request(request(`p${this.#permits}`, overrides), now), now)
  }

  /** Asks for slots at a rate in requests a second; each is held for `hold` milliseconds. */
  load (from: number, to: number, rate: number, hold: number, overrides: Partial<SlotRequest> = {}): void {
    const held: Array<{ readonly permit: string, readonly until: number }> = []
    let asked = 0
    for (let now = from; now < to; now += tickMilliseconds) {
      for (const { permit } of held.filter(({ until }) => until <= now)) {
        this.apply(this.fleet.release(permit, SlotOutcome.Finished, now), now)
      }
      held.splice(0, held.length, ...held.filter(({ until }) => until > now))
      for (; asked < (now - from) / 1_000 * rate; asked += 1) {
        this.ask(now, overrides)
      }
      this.apply(this.fleet.tick(now), now)
      held.push(...this.#granted.splice(0).map(permit => ({ permit, until: now + hold })))
    }
  }

  readonly #granted: string[] = []

  apply (decisions: readonly SlotDecision[], now: number): void {
    for (const decision of decisions) {
      switch (decision.kind) {
        case DecisionKind.Grant:
          this.grants.set(decision.target, [...this.grants.get(decision.target) ?? [], now])
          this.#granted.push(decision.permit)
          break
        case DecisionKind.Refuse:
          this.refusals.push({ permit: decision.permit, at: now, retryAfter: decision.retryAfter, reason: decision.reason })
          break
        case DecisionKind.Revoke:
          this.revoked.push(decision.permit)
      }
    }
  }

  grantsOf (target: string, from: number, to: number): number {
    return (this.grants.get(target) ?? []).filter(at => at >= from && at < to).length
  }

  mostIn4Seconds (target: string): number {
    const times = this.grants.get(target) ?? []
    return times.reduce((most, from) => Math.max(most, times.filter(at => at >= from && at < from + 4_000).length), 0)
  }
}

describe('a target with a rate limit', () => {
  it('gets no more than its limit and two requests in any 4 s, and the others take the load', () => {
    const play = new LimitedFleet('limited', 'other')
    play.name('limited', 3, 0)
    play.load(0, 20_000, 22, 400)
    assert.ok(play.mostIn4Seconds('limited') <= 15, `${play.mostIn4Seconds('limited')} in 4 s`)
    assert.ok(play.grantsOf('limited', 0, 20_000) >= 50, `${play.grantsOf('limited', 0, 20_000)} of about 60 used`)
    assert.deepEqual(play.refusals, [])
  })

  it('gets as many as before once an answer names no limit', () => {
    const play = new LimitedFleet('limited')
    play.name('limited', 1, 0)
    play.load(0, 8_000, 10, 200)
    play.name('limited', null, 8_000)
    play.load(8_000, 12_000, 10, 200)
    assert.ok(play.mostIn4Seconds('limited') >= 38)
    assert.ok(play.grantsOf('limited', 0, 8_000) <= 9)
  })

  it('gets a request every 2 s while the others take the whole load, so that an answer can tell that its limit is over', () => {
    const play = new LimitedFleet('limited', 'other')
    play.name('limited', 3, 0)
    play.load(0, 20_000, 5, 100)
    const inEach2Seconds = Array.from({ length: 10 }, (_, index) => play.grantsOf('limited', index * 2_000, (index + 1) * 2_000))
    assert.ok(inEach2Seconds.every(count => count === 1 || count === 2), inEach2Seconds.join(', '))
  })

  it('is asked for an answer also after the clock was set back', () => {
    const play = new LimitedFleet('limited', 'other')
    const hour = 3_600_000
    play.name('limited', 3, hour)
    play.load(hour, hour + 10_000, 5, 100)
    play.load(0, 10_000, 5, 100)
    assert.ok(play.grantsOf('limited', 0, 10_000) >= 4, `${play.grantsOf('limited', 0, 10_000)} in 10 s`)
  })

  it('runs batch work also after the clock was set back while online requests waited', () => {
    const play = new LimitedFleet('limited')
    const hour = 3_600_000
    play.name('limited', 2, hour)
    play.load(hour, hour + 5_000, 10, 100)
    play.load(0, 10_000, 5, 100, batch)
    assert.ok(play.grantsOf('limited', 0, 10_000) >= 15, `${play.grantsOf('limited', 0, 10_000)} of about 20`)
  })

  it('gets a request every 4 s however low its limit is, so that an answer can tell that it is over', () => {
    const play = new LimitedFleet('limited')
    play.name('limited', 0, 0)
    play.load(0, 17_000, 5, 200)
    assert.equal(play.grantsOf('limited', 0, 17_000), 4)
  })

  it('counts the requests that other owners have granted', () => {
    const play = new LimitedFleet('limited')
    play.name('limited', 2, 0)
    for (let now = 500; now < 10_000; now += 500) {
      play.name('limited', 2, now, `of-another-${now}`)
    }
    play.ask(9_900)
    assert.equal(play.grantsOf('limited', 0, 9_901), 0)
  })

  it('counts a request that is granted again on another target, also if its first grant was counted', () => {
    const play = new LimitedFleet('first', 'second')
    play.name('first', 2, 0)
    play.name('second', 2, 0)
    for (let count = 0; count < 100; count += 1) {
      const now = 1_000 + count * 100
      play.name('first', 2, now, `of-another-${count}`)
      play.apply(play.fleet.request(request(`of-another-${count}`, { excluded: ['first'], patience: 0 }), now), now)
      play.apply(play.fleet.release(`of-another-${count}`, SlotOutcome.Finished, now), now)
    }
    assert.ok(play.mostIn4Seconds('second') <= 10, `${play.mostIn4Seconds('second')} in 4 s`)
  })

  it('counts a request of another owner on this target, also if it was granted here on another one', () => {
    const play = new LimitedFleet('first', 'second')
    play.name('second', 2, 0)
    for (let now = 500; now < 10_000; now += 500) {
      play.apply(play.fleet.request(request(`twice-${now}`, { excluded: ['second'] }), now), now)
      play.name('second', 2, now, `twice-${now}`)
    }
    play.ask(9_900, { excluded: ['first'] })
    assert.equal(play.grantsOf('second', 0, 9_901), 0)
  })

  it('counts a request of another owner once, though both its grant and its answer tell of it', () => {
    const play = new LimitedFleet('limited')
    play.name('limited', 2, 0)
    play.name('limited', 2, 2_000, 'of-another')
    play.name('limited', 2, 2_100, 'of-another')
    play.ask(2_100)
    assert.equal(play.grantsOf('limited', 0, 2_101), 1)
  })

  it('counts the answers of requests that a holder has reported and another owner has granted', () => {
    const play = new LimitedFleet('limited')
    play.name('limited', 1, 0)
    const permits = Array.from({ length: 6 }, (_, index) => `reported-${index}`)
    play.apply(play.fleet.synchronize('other', permits.map(permit => ({ permit, target: 'limited', workClass: WorkClass.Online, due: 0, ran: 0 })), 5_000), 5_000)
    permits.forEach(permit => { play.name('limited', 1, 5_000, permit) })
    play.ask(6_000)
    assert.equal(play.grantsOf('limited', 0, 6_001), 0)
  })

  it('does not count the answers of its own requests twice', () => {
    const play = new LimitedFleet('limited')
    play.name('limited', 2, 0)
    play.ask(1_000)
    play.name('limited', 2, 1_050, 'p1')
    play.ask(1_500)
    assert.equal(play.grantsOf('limited', 0, 2_000), 2)
  })

  it('gets no request for a slot that is taken from batch work beyond its limit', () => {
    const play = new LimitedFleet('limited')
    for (let item = 0; item < 8; item += 1) {
      play.ask(0, { ...batch, due: 60_000 })
    }
    play.name('limited', 1, 0)
    play.ask(100)
    play.ask(200)
    assert.deepEqual([play.revoked, play.grantsOf('limited', 1, 1_000)], [[], 0])
    play.ask(1_000)
    assert.deepEqual([play.revoked.length, play.grantsOf('limited', 1, 1_001)], [1, 1])
  })

  it('leaves its allowance to online requests while they wait for one', () => {
    const play = new LimitedFleet('limited')
    play.name('limited', 1, 0)
    play.ask(0, { patience: 2_000 })
    play.ask(0, { ...batch, due: 60_000 })
    play.apply(play.fleet.tick(1_000), 1_000)
    assert.deepEqual([play.grantsOf('limited', 0, 1_001), play.fleet.load().online], [1, 1])
  })

  it('runs batch items, and leaves slots of the other targets to online requests', () => {
    const play = new LimitedFleet('limited', 'other')
    play.name('limited', 4, 0)
    for (let item = 0; item < 4; item += 1) {
      play.ask(1_000 + item * 250, { ...batch, due: 60_000 })
      play.ask(1_000 + item * 250)
    }
    assert.deepEqual([play.grantsOf('limited', 0, 2_000), play.grantsOf('other', 0, 2_000)], [4, 4])
    assert.deepEqual([play.fleet.load().batch, play.fleet.load().online], [4, 4])
  })

  it('runs batch items by default headroom when nothing else runs, however low its limit is', () => {
    for (const limit of [0, 1, 3.9, 8]) {
      const play = new LimitedFleet('limited')
      const fleet = new FleetAdmission(defaultFleetAdmissionOptions, new CrashQuarantine(), play.limits)
      fleet.setTargets(targetsOf('limited'), 0)
      play.limits.observe({ service: 's', target: 'limited', born: 1, requestsPerSecond: limit, sentAgo: 0, heardAgo: 0 }, 0)
      fleet.onRateLimit('limited', null, 0)
      const granted: SlotDecision[] = [...fleet.request(request('b1', { ...batch, due: 60_000 }), 100)]
      for (let now = 200; now < 20_000; now += tickMilliseconds) {
        granted.push(...fleet.tick(now))
      }
      assert.equal(granted.length, 1, `at ${limit} a second`)
    }
  })

  it('queues a request for an allowance that is due within its patience, also if the mean interval is longer', () => {
    const play = new LimitedFleet('limited')
    play.name('limited', 0.5, 0)
    play.ask(1_700, { patience: 400 })
    play.apply(play.fleet.tick(2_000), 2_000)
    assert.deepEqual([play.refusals, play.grantsOf('limited', 0, 2_001)], [[], 1])
  })

  it('gets no batch item within half a second after online requests were rejected', () => {
    const play = new LimitedFleet('limited')
    play.name('limited', 2, 0)
    play.ask(400, { patience: 10 })
    assert.equal(play.refusals.length, 1)
    play.ask(400, { ...batch, due: 60_000 })
    play.apply(play.fleet.tick(800), 800)
    assert.equal(play.grantsOf('limited', 0, 801), 0)
    play.apply(play.fleet.tick(900), 900)
    assert.equal(play.grantsOf('limited', 0, 901), 1)
  })

  it('loses batch items to online requests only if no target without a limit runs some', () => {
    const play = new LimitedFleet('limited', 'other')
    for (let item = 0; item < 16; item += 1) {
      play.ask(0, { ...batch, due: 60_000 + item })
    }
    play.name('limited', 8, 0)
    play.ask(1_000)
    play.ask(1_000)
    assert.deepEqual([play.grantsOf('limited', 1, 2_000), play.grantsOf('other', 1, 2_000)], [0, 2])
  })

  it('is not excluded for its limit: no request is refused while it has an allowance', () => {
    const play = new LimitedFleet('limited')
    play.name('limited', 4, 0)
    for (const now of [1_000, 1_250, 1_500, 1_750]) {
      play.ask(now, { patience: 10 })
    }
    assert.deepEqual(play.refusals, [])
  })
})

describe('a fleet whose targets all name rate limits', () => {
  it('decides as cheaply with a long queue as with a short one while all slots are in use', () => {
    const lookups = [100, 400].map(waiting => {
      const play = new LimitedFleet('one', 'two', 'three')
      for (const target of ['one', 'two', 'three']) {
        play.name(target, 1_000, 0)
      }
      for (let number = 0; number < 24 + waiting; number += 1) {
        play.ask(1_000, { patience: 1_000_000 })
      }
      assert.equal(play.fleet.load().waiting, waiting)
      const { calls } = mock.method(play.limits, 'limitOf').mock
      play.apply(play.fleet.tick(1_025), 1_025)
      return calls.length
    })
    assert.ok((lookups[1] ?? 0) <= (lookups[0] ?? 0) + 10, lookups.join(', '))
  })

  it('serves the sum of the limits, and refuses at once what would wait too long', () => {
    const play = new LimitedFleet('one', 'two', 'three')
    for (const target of ['one', 'two', 'three']) {
      play.name(target, 2, 0)
    }
    play.load(0, 20_000, 20, 100)
    const served = ['one', 'two', 'three'].reduce((sum, target) => sum + play.grantsOf(target, 0, 20_000), 0)
    assert.ok(served >= 105 && served <= 125, `${served} served`)
    const asked = new Map(Array.from({ length: 400 }, (_, index) => [`p${index + 1}`, index * 50]))
    const atOnce = play.refusals.filter(({ permit, at }) => at - (asked.get(permit) ?? 0) < 50).length
    assert.ok(atOnce >= play.refusals.length * 0.9, `${atOnce} of ${play.refusals.length} at once`)
    assert.ok(play.refusals.every(({ reason, retryAfter }) => reason === RefusalReason.Busy && retryAfter > 0))
  })
})

describe('a request that is sent again while it waits for the allowance of a target', () => {
  it('gets one slot, which is free once it is released (guards against slots that nobody holds and nobody gets)', () => {
    const limited = new LimitedFleet('t1')
    const { fleet } = limited
    limited.name('t1', 1, 0)
    let now = 10
    let first = 0
    for (; limited.grantsOf('t1', 0, now) === first; now += 10) {
      first += 1
      limited.apply(fleet.request(request(`first-${first}`, { patience: 0 }), now), now)
    }
    const waiting = request('waiting', { patience: 20_000 })
    assert.deepEqual(fleet.request(waiting, now), [])
    const [again] = fleet.request(waiting, now + 5_000)
    assert.equal(again?.kind, DecisionKind.Grant)
    assert.deepEqual(fleet.tick(now + 10_000), [])
    for (const permit of ['waiting', ...Array.from({ length: first }, (_, index) => `first-${index + 1}`)]) {
      fleet.release(permit, SlotOutcome.Finished, now + 10_010)
    }
    assert.equal(fleet.load().online, 0)
  })

  it('counts as one slot if its holder has got one from another owner meanwhile', () => {
    const limited = new LimitedFleet('t1')
    const { fleet } = limited
    limited.name('t1', 1, 0)
    let now = 10
    for (let first = 0; limited.grantsOf('t1', 0, now) === first; now += 10) {
      first += 1
      limited.apply(fleet.request(request(`first-${first}`, { patience: 0 }), now), now)
    }
    assert.deepEqual(fleet.request(request('waiting', { patience: 20_000 }), now), [])
    fleet.synchronize('h', [{ permit: 'waiting', target: 't1', workClass: WorkClass.Online, due: 0, ran: 0 }], now + 10)
    assert.equal(fleet.load().online, limited.grantsOf('t1', 0, now) + 1)
    assert.equal(fleet.tick(now + 10_000)[0]?.permit, 'waiting')
    assert.equal(fleet.load().online, limited.grantsOf('t1', 0, now) + 1)
    fleet.synchronize('h', [], now + 20_000)
    assert.equal(fleet.load().online, 0)
  })
})
