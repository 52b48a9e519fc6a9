/** Tests whose fault failures are: that of targets, or of holders that are cut off from them; without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SlotOutcome } from '../../src/index.js'
import { TargetAvailability, TargetHealth } from '../../src/fleet/target-health.js'

const targets = ['t0', 't1', 't2', 't3', 't4', 't5', 't6', 't7']
const { Unreachable, Crashed, Finished, Full } = SlotOutcome
const { Available, Suspended, OnTrial } = TargetAvailability

function createHealth (listed: readonly string[] = targets): TargetHealth {
  const health = new TargetHealth({ initialSuspensionMilliseconds: 300, maximumSuspensionMilliseconds: 2_000 })
  health.retainTargets(new Set(listed))
  return health
}

function record (health: TargetHealth, holders: readonly string[], failed: readonly string[], outcome: SlotOutcome, now: number): void {
  for (const holder of holders) {
    for (const target of failed) {
      health.recordOutcome(target, holder, outcome, now)
    }
  }
}

function availabilities (health: TargetHealth, holder: string, now: number): readonly TargetAvailability[] {
  return targets.map(target => health.availabilityFor(target, holder, now))
}

describe('failures of holders that are cut off', () => {
  it('suspend no target for others, whether connections hang or are reset', () => {
    for (const outcome of [Unreachable, Crashed]) {
      const health = createHealth()
      record(health, ['x', 'y', 'z', 'u', 'v'], targets, outcome, 10)
      assert.deepEqual(availabilities(health, 'other', 20), targets.map(() => Available), outcome)
    }
  })

  it('are retracted, which lifts the suspensions that followed from them at once', () => {
    const health = createHealth()
    record(health, ['x', 'y'], ['t0'], Unreachable, 10)
    assert.equal(health.availabilityFor('t0', 'other', 20), Suspended)
    record(health, ['x'], ['t1', 't2', 't3', 't4'], Unreachable, 30)
    assert.equal(health.availabilityFor('t0', 'other', 40), Available)
  })

  it('are retracted as soon as one of their targets answers another holder', () => {
    const health = createHealth()
    record(health, ['x', 'y'], ['t0', 't1'], Unreachable, 10)
    record(health, ['other'], ['t0'], Finished, 20)
    assert.equal(health.availabilityFor('t1', 'other', 20), Available)
  })

  it('suspend the only target of a service for nobody once it has answered another holder', () => {
    const health = createHealth(['t0'])
    record(health, ['x', 'y', 'z'], ['t0'], Unreachable, 10)
    record(health, ['other'], ['t0'], Finished, 20)
    record(health, ['x', 'y', 'z'], ['t0'], Unreachable, 400)
    assert.equal(health.availabilityFor('t0', 'other', 410), Available)
  })

  it('do not count again after they have had no news for seconds', () => {
    const health = createHealth()
    record(health, ['x', 'y'], targets, Unreachable, 10)
    record(health, ['x'], ['t0'], Unreachable, 10_000)
    assert.equal(health.availabilityFor('t0', 'other', 10_010), Available)
  })

  it('suspend targets for themselves for the shortest time only, as long as they are cut off', () => {
    const health = createHealth()
    for (let now = 10; now < 6_000; now += 400) {
      record(health, ['x'], targets, Unreachable, now)
    }
    assert.deepEqual(availabilities(health, 'x', 6_310), targets.map(() => Available))
  })

  it('are forgotten with the first contact after a long time', () => {
    const health = createHealth()
    for (let now = 10; now < 4_000; now += 400) {
      record(health, ['x', 'y'], targets, Unreachable, now)
    }
    record(health, ['x', 'y'], ['t0'], Finished, 4_100)
    assert.deepEqual(availabilities(health, 'x', 4_100), targets.map(() => Available))
    assert.deepEqual(availabilities(health, 'other', 4_100), targets.map(() => Available))
  })
})

describe('failures that lie seconds apart', () => {
  it('do not show that their holder is cut off, nor that of a long time ago with the next contact that its target is gone', () => {
    const health = createHealth()
    record(health, ['x'], ['t0'], Unreachable, 10)
    record(health, ['x', 'y'], ['t1'], Unreachable, 60_000)
    assert.equal(health.availabilityFor('t1', 'other', 60_010), Suspended)
    const later = createHealth()
    record(later, ['x', 'y'], targets, Unreachable, 10)
    record(later, ['x', 'y'], ['t7'], Finished, 6_000)
    assert.equal(later.availabilityFor('t0', 'other', 6_010), Available)
  })
})

describe('failures of targets', () => {
  it('suspend all that crash at once, although holders fail at two of them before their next contact', () => {
    const health = createHealth()
    record(health, ['x', 'y'], ['t0', 't1'], Unreachable, 10)
    record(health, ['x', 'y'], ['t2'], Finished, 100)
    assert.deepEqual(availabilities(health, 'other', 110).slice(0, 3), [Suspended, Suspended, Available])
  })

  it('count again after the contact of a holder that failed at most targets for a moment', () => {
    const health = createHealth()
    record(health, ['x', 'y'], targets.slice(0, 5), Unreachable, 10)
    assert.equal(health.availabilityFor('t0', 'other', 20), Available)
    record(health, ['x', 'y'], ['t5'], Finished, 100)
    assert.equal(health.availabilityFor('t0', 'other', 110), Suspended)
  })

  it('suspend a target that breaks answers of three holders, but not those that break one answer each of a holder', () => {
    const health = createHealth()
    record(health, ['x', 'y', 'z'], ['t0'], Crashed, 10)
    record(health, ['u'], targets.slice(1), Crashed, 10)
    assert.deepEqual(availabilities(health, 'other', 20), [Suspended, ...targets.slice(1).map(() => Available)])
  })

  it('are found while most holders are cut off', () => {
    const health = createHealth()
    record(health, ['x', 'y', 'z'], targets, Unreachable, 10)
    record(health, ['other', 'next'], ['t0'], Unreachable, 20)
    record(health, ['other', 'next'], ['t1'], Finished, 30)
    assert.equal(health.availabilityFor('t0', 'last', 40), Suspended)
  })
})

describe('a trial of a suspended target', () => {
  /** Suspends the target for all holders until 310 ms. */
  function suspended (): TargetHealth {
    const health = createHealth()
    record(health, ['x', 'y'], ['t0'], Unreachable, 10)
    record(health, ['x', 'y'], ['t7'], Finished, 20)
    return health
  }

  it('is left to holders that reach targets', () => {
    const health = suspended()
    record(health, ['cut'], ['t1', 't2', 't3', 't4', 't5'], Unreachable, 300)
    assert.equal(health.availabilityFor('t0', 'cut', 320), Suspended)
    assert.equal(health.availabilityFor('t0', 'other', 320), OnTrial)
  })

  it('is made by a holder that is cut off if no other one makes it for two seconds', () => {
    const health = suspended()
    record(health, ['cut'], ['t1', 't2', 't3', 't4', 't5'], Unreachable, 2_000)
    assert.equal(health.availabilityFor('t0', 'cut', 2_320), OnTrial)
  })
})

describe('a holder that reaches the targets of one availability zone', () => {
  it('keeps its own suspensions of the others while these answer other holders', () => {
    const health = createHealth()
    record(health, ['x'], ['t0'], Unreachable, 10)
    record(health, ['other'], ['t0'], Finished, 20)
    assert.equal(health.availabilityFor('t0', 'x', 30), Suspended)
    assert.equal(health.availabilityFor('t0', 'other', 30), Available)
  })

  it('tries them more and more rarely', () => {
    const health = createHealth()
    for (const now of [10, 400]) {
      record(health, ['x'], ['t0'], Unreachable, now)
      record(health, ['other'], ['t0'], Finished, now + 10)
      record(health, ['x'], ['t7'], Finished, now + 20)
    }
    assert.equal(health.availabilityFor('t0', 'x', 900), Suspended)
    assert.equal(health.availabilityFor('t0', 'x', 1_010), Available)
  })
})

describe('a target that rejects requests as full', () => {
  it('shows that it is reached, and is suspended once two holders report it', () => {
    const health = createHealth()
    record(health, ['x', 'y'], ['t0'], Unreachable, 10)
    record(health, ['other'], ['t0'], Full, 20)
    assert.equal(health.availabilityFor('t0', 'next', 30), Available)
    record(health, ['last'], ['t0'], Full, 40)
    assert.equal(health.availabilityFor('t0', 'next', 50), Suspended)
  })
})
