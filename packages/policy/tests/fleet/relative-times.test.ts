/** Tests that the speeds of targets are told apart from the load and from single slow answers, on the load of the users' second deployment. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { RelativeTimes } from '../../src/fleet/relative-times.js'
import type { TimedTarget } from '../../src/fleet/relative-times.js'

const speeds = [0.7, 0.7, 1.7] as const
const targets: readonly TimedTarget[] = Array.from({ length: 39 }, (_, index) => ({ id: `t${index}`, born: 1, softwareVersion: 'v1' }))

/** Answers whose time depends on the target's speed, the slots in use, the length of the prompt, and noise of 2.5 times for 15 of 100. */
class Answers {
  readonly #random = xoroshiro128plus(20_261_206)

  constructor (readonly times: RelativeTimes, private readonly speedOf: (index: number) => number) {}

  get uniform (): number {
    return uniformFloat64(this.#random)
  }

  /** Records answers of random targets, one each 4 ms. */
  record (count: number, from: number): number {
    let now = from
    for (let answer = 0; answer < count; answer += 1) {
      now += 4
      const index = Math.floor(this.uniform * targets.length)
      // Fast targets have more slots in use, as a choice by speed makes it.
      const slotsInUse = 1 + Math.floor(this.uniform * 4) + (this.speedOf(index) > 1 ? 4 : 0)
      const noise = this.uniform < 0.15 ? 2.5 : 1
      const length = 0.7 + this.uniform * 0.6
      this.times.record(targets[index] as TimedTarget, 'online', slotsInUse, 25 * (1 + 0.05 * slotsInUse) * length * noise / this.speedOf(index), now)
    }
    return now
  }
}

const unequal = (index: number): number => speeds[index % speeds.length] as number

function ratioOf (times: RelativeTimes, slow: number, fast: number, now: number): number {
  return times.factorOf(targets[slow] as TimedTarget, now) / times.factorOf(targets[fast] as TimedTarget, now)
}

describe('RelativeTimes', () => {
  it('tells targets of unequal speed apart, in the mean within a tenth of their ratio, also if the fast ones are always busier (guards against taking load for slowness)', () => {
    const answers = new Answers(new RelativeTimes(), unequal)
    const now = answers.record(4_000, 0)
    assert.equal(answers.times.areUnequal(now), true)
    // The weighted median of 32 samples deviates by about a tenth for each of the two targets.
    const ratios = Array.from({ length: 13 }, (_, index) => ratioOf(answers.times, index * 3, index * 3 + 2, now) / (1.7 / 0.7))
    assert.ok(ratios.every(ratio => ratio > 0.65 && ratio < 1.5), ratios.join(', '))
    const mean = ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length
    assert.ok(mean > 0.9 && mean < 1.1, `${mean}`)
  })

  it('does not take targets of equal speed for unequal at any time (guards against effects of single slow answers)', () => {
    const answers = new Answers(new RelativeTimes(), () => 1)
    for (let now = 0, batch = 0; batch < 400; batch += 1) {
      now = answers.record(50, now)
      assert.equal(answers.times.areUnequal(now), false, `after ${(batch + 1) * 50} answers`)
    }
  })

  it('does not take targets of equal speed for unequal with prompts of very unequal length (guards against estimates that differ by chance)', () => {
    const answers = new Answers(new RelativeTimes(), () => 1)
    for (let now = 0, answer = 0; answer < 20_000; answer += 1) {
      now += 4
      // Lengths are normal in the logarithm, with a deviation of 0.7.
      const normal = Math.sqrt(-2 * Math.log(1 - answers.uniform)) * Math.cos(2 * Math.PI * answers.uniform)
      const noise = answers.uniform < 0.15 ? 2.5 : 1
      answers.times.record(targets[Math.floor(answers.uniform * targets.length)] as TimedTarget, 'online', 1 + Math.floor(answers.uniform * 7), 25 * Math.exp(0.7 * normal) * noise, now)
      assert.equal(answers.times.areUnequal(now), false, `after ${answer + 1} answers`)
    }
  })

  it('has no opinion before a target has 8 samples, and none about unknown ones', () => {
    const times = new RelativeTimes()
    const [fast, slow] = targets as readonly [TimedTarget, TimedTarget]
    const record = (now: number): void => {
      times.record(fast, 'online', 1, 10, now)
      times.record(slow, 'online', 1, 40, now)
    }
    record(0)
    for (let answer = 0; answer < 7; answer += 1) {
      record(1_000 + answer)
    }
    assert.equal(times.areUnequal(1_500), false)
    assert.equal(times.factorOf(slow, 1_500), 1)
    record(1_501)
    assert.equal(times.areUnequal(2_000), true)
    assert.ok(times.factorOf(slow, 2_000) > 1.5)
  })

  it('does not judge a target by the first second of its answers (guards against a target that joins a full fleet and gets nothing more)', () => {
    const answers = new Answers(new RelativeTimes(), () => 1)
    const now = answers.record(4_000, 0)
    const joining = { id: 'joining', born: 2, softwareVersion: 'v1' }
    const record = (count: number, from: number, factor: number): void => {
      for (let answer = 0; answer < count; answer += 1) {
        answers.times.record(joining, 'online', 8, 25 * 1.4 * factor, from + answer * 15)
      }
    }
    record(12, now, 12)
    record(8, now + 1_000, 1)
    const factor = answers.times.factorOf(joining, now + 1_500)
    assert.ok(factor > 0.8 && factor < 1.25, `${factor}`)
    // Later answers count.
    record(8, now + 2_000, 12)
    assert.ok(answers.times.factorOf(joining, now + 2_500) > 5)
  })

  it('follows a target that becomes slower by more than twice within six answers', () => {
    const answers = new Answers(new RelativeTimes(), () => 1)
    let now = answers.record(4_000, 0)
    const [changed] = targets as readonly [TimedTarget]
    const before = answers.times.factorOf(changed, now)
    for (let answer = 0; answer < 8; answer += 1) {
      now += 50
      answers.times.record(changed, 'online', 2, 25 * 1.1 * 3, now)
    }
    assert.ok(answers.times.factorOf(changed, now) > before * 2, `${answers.times.factorOf(changed, now)} after ${before}`)
  })

  it('forgets a target that has started again or has another version, and samples of a minute ago', () => {
    const answers = new Answers(new RelativeTimes(), unequal)
    const now = answers.record(4_000, 0)
    const [slow, , fast] = targets as readonly [TimedTarget, TimedTarget, TimedTarget]
    assert.notEqual(answers.times.factorOf(fast, now), 1)
    assert.equal(answers.times.factorOf({ ...fast, born: 2 }, now), 1)
    answers.times.retainTargets(targets.map(target => target === slow ? { ...slow, softwareVersion: 'v2' } : target))
    assert.equal(answers.times.factorOf(slow, now), 1)
    assert.equal(answers.times.factorOf(fast, now + 61_000), 1)
    assert.equal(answers.times.areUnequal(now + 61_000), false)
  })

  it('ignores times that cannot be', () => {
    const times = new RelativeTimes()
    const [target] = targets as readonly [TimedTarget]
    for (const milliseconds of [Number.NaN, Number.POSITIVE_INFINITY, -1]) {
      times.record(target, 'online', 1, milliseconds, 0)
    }
    assert.equal(times.samplesOf(target, 0), 0)
  })
})
