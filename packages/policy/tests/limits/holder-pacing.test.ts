/** Tests that a holder keeps its share of rate limits which the owner of its slots does not keep, and only of these. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { HolderPacing, TargetRateLimits } from '../../src/index.js'

const members = 5

class Holder {
  readonly limits = new TargetRateLimits()
  readonly pacing = new HolderPacing(this.limits)

  hear (requestsPerSecond: number | null, now: number): void {
    this.limits.observe({ service: 's', target: 'one', born: 1, requestsPerSecond, sentAgo: 0, heardAgo: 0 }, now)
  }

  tell (requestsPerSecond: number, now: number): void {
    this.hear(requestsPerSecond, now)
    this.pacing.onTold('owner', 'one', 1, now)
  }

  admits (granted: number | null | undefined, now: number, owner = 'owner'): boolean {
    return this.pacing.admits(owner, 'one', 1, granted, members, now)
  }

  /** Returns the slots used among those granted each 10 ms. */
  use (from: number, to: number, granted?: number | null): number {
    return Array.from({ length: (to - from) / 10 }, (_, index) => this.admits(granted, from + index * 10)).filter(isAdmitted => isAdmitted).length
  }
}

describe('a holder whose owner was told of a limit', () => {
  it('uses an even share of it if the owner goes on without knowing it', () => {
    const holder = new Holder()
    holder.tell(5, 0)
    holder.use(0, 500)
    assert.equal(holder.use(500, 10_500), 10)
    assert.deepEqual(holder.pacing.exhausted('owner', members, 10_500), ['one'])
  })

  it('uses each slot until the owner should know it', () => {
    const holder = new Holder()
    holder.tell(5, 0)
    assert.equal(holder.use(0, 500), 50)
    assert.deepEqual(holder.pacing.exhausted('owner', members, 490), [])
  })

  it('uses each slot if the owner knows a limit, or that there is none any more', () => {
    for (const granted of [5, 2, null]) {
      const holder = new Holder()
      holder.tell(5, 0)
      holder.use(0, 1_000)
      assert.equal(holder.use(1_000, 2_000, granted), 100)
      assert.deepEqual(holder.pacing.exhausted('owner', members, 2_000), [])
    }
  })

  it('uses each slot of an owner that knows the limit of another target', () => {
    const holder = new Holder()
    holder.tell(5, 0)
    holder.use(0, 1_000)
    holder.pacing.admits('owner', 'two', 1, 3, members, 1_000)
    assert.deepEqual(holder.pacing.exhausted('owner', members, 1_000), [])
    assert.ok(holder.admits(undefined, 1_000))
  })

  it('uses each slot of an owner that it has told nothing', () => {
    const holder = new Holder()
    holder.tell(5, 0)
    holder.use(0, 1_000)
    assert.ok(holder.admits(undefined, 1_010, 'another'))
  })

  it('uses each slot once an answer tells that the limit is over', () => {
    const holder = new Holder()
    holder.tell(5, 0)
    holder.use(0, 1_000)
    holder.hear(null, 1_000)
    assert.equal(holder.use(1_000, 2_000), 100)
  })

  it('sends a request now and then at a limit of 0, so that an answer can end it', () => {
    const holder = new Holder()
    holder.tell(0, 0)
    holder.use(0, 500)
    assert.equal(holder.use(500, 60_500), 3)
  })

  it('is not held back for longer if the clock is set back', () => {
    const holder = new Holder()
    holder.tell(5, 3_600_000)
    holder.use(3_600_000, 3_601_000)
    const used = holder.use(0, 10_000)
    assert.ok(used >= 9 && used <= 11, `${used} used`)
  })

  it('remembers the owners and targets that it told last', () => {
    const holder = new Holder()
    holder.tell(5, 0)
    holder.use(0, 1_000)
    for (let other = 0; other < 200; other += 1) {
      holder.pacing.onTold(`owner-${other}`, 'one', 1, 1_000)
    }
    assert.deepEqual(holder.pacing.exhausted('owner', members, 1_000), [])
    assert.ok(!holder.admits(undefined, 1_600, 'owner-199'))
  })
})
