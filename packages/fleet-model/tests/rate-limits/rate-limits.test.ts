/** Tests of what targets that name rate limits get, and of what callers get meanwhile, with one owner and several. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { requestsAllowed, simulateRateLimits, usedShare, worstWindowOf } from '../../src/index.js'
import type { OwnerView, RateLimitedLoad, RateLimitedOutcome } from '../../src/index.js'

interface FleetSize {
  readonly holders: number
  readonly targets: number
  readonly seeds: readonly number[]
}

interface LoadCase {
  readonly name: string
  readonly overrides: (targets: number) => Partial<RateLimitedLoad>
}

const sizes: readonly FleetSize[] = [
  { holders: 12, targets: 8, seeds: [1, 2] },
  { holders: 76, targets: 24, seeds: [3, 4] },
  { holders: 300, targets: 60, seeds: [5] }
]
const seconds = 1_000
const loadedFrom = 6 * seconds
const loadedUntil = 20 * seconds

/** Owners of all holders, without disagreement. */
const owners = [0, 1, 2]
const agreed: OwnerView = { from: 0, ownersOf: () => owners }
const lossy = { lostShare: 0.3, maximumDelay: 400 }

/** Holders disagree for 6 s about which of the owners decides. */
function split (ownersOf: (holder: number) => readonly number[]): Pick<RateLimitedLoad, 'views'> {
  return { views: [agreed, { from: 8 * seconds, ownersOf }, { ...agreed, from: 14 * seconds }] }
}

function amongThree (holder: number): readonly number[] {
  return [holder % 3, (holder + 1) % 3, (holder + 2) % 3]
}

function isOfSecondGroup (holder: number): boolean {
  return holder % 2 === 1
}

/** Returns the owners of two groups that hear nothing of each other. */
function apart (holder: number): readonly number[] {
  return isOfSecondGroup(holder) ? [3, 5, 7] : [0, 2, 4]
}

function all (targets: number, requestsPerSecond: number): Pick<RateLimitedLoad, 'limits'> {
  return { limits: [{ at: 1 * seconds, targets: [0, targets], requestsPerSecond }] }
}

/** Returns a load of twice what limits of 3 a second allow, beside batch work that never ends. */
function loadOf ({ holders, targets }: FleetSize, overrides: Partial<RateLimitedLoad>): RateLimitedLoad {
  return {
    holders,
    targets,
    slotsOfTarget: 8,
    milliseconds: 24 * seconds,
    onlinePerSecond: targets * 6,
    steps: [],
    items: 20,
    ...all(targets, 3),
    views: [agreed],
    pauses: [],
    clockSteps: [],
    exchange: { lostShare: 0, maximumDelay: 0 },
    ...overrides
  }
}

/** Cases with one owner at a time or several, whose limits are used up throughout. */
const steadyCases: readonly LoadCase[] = [
  { name: 'one owner', overrides: () => ({}) },
  { name: 'limits that differ', overrides: targets => ({ limits: [1.3, 2.2, 4].map((requestsPerSecond, index) => ({ at: index * seconds, targets: [targets * index >> 2, targets * (index + 1 + Number(index === 2)) >> 2], requestsPerSecond })) }) },
  { name: 'limits that fall and rise', overrides: targets => ({ limits: [4, 1.3, 3].map((requestsPerSecond, index) => ({ at: index * 7 * seconds, targets: [0, targets], requestsPerSecond })) }) },
  { name: 'a change of owners to processes that were none', overrides: () => ({ views: [agreed, { from: 8 * seconds, ownersOf: () => [1, 2, 3] }, { from: 13 * seconds, ownersOf: () => [4, 5, 6] }] }) },
  { name: 'two owners at once', overrides: () => split(holder => isOfSecondGroup(holder) ? [1, 2, 0] : owners) },
  { name: 'three owners at once', overrides: () => split(amongThree) },
  { name: 'answers passed on late or lost', overrides: () => ({ exchange: lossy }) },
  { name: 'three owners at once, answers passed on late or lost', overrides: () => ({ ...split(amongThree), exchange: lossy }) },
  { name: 'an owner that is stopped and woken', overrides: () => ({ views: [agreed, { from: 9 * seconds, ownersOf: () => [1, 2, 3] }, { ...agreed, from: 13 * seconds }], pauses: [{ process: 0, at: 8 * seconds, forMilliseconds: 4 * seconds }] }) },
  { name: 'an owner whose clock is set forward', overrides: () => ({ clockSteps: [{ process: 0, at: 10 * seconds, by: 7 * seconds }] }) },
  { name: 'an owner whose clock is set back', overrides: () => ({ clockSteps: [{ process: 0, at: 10 * seconds, by: -7 * seconds }] }) }
]

/** Further cases, in which limits are low, high or end, or not all is used. */
const otherCases: readonly LoadCase[] = [
  { name: 'limits of 0', overrides: targets => all(targets, 0) },
  { name: 'limits of 0.3 a second', overrides: targets => all(targets, 0.3) },
  { name: 'limits of 10 a second', overrides: targets => all(targets, 10) },
  { name: 'limits that end and come back', overrides: targets => ({ limits: [3, null, 2].map((requestsPerSecond, index) => ({ at: index * 7 * seconds, targets: [0, targets], requestsPerSecond })) }) },
  { name: 'half of the targets', overrides: targets => ({ limits: [{ at: 1 * seconds, targets: [0, targets / 2], requestsPerSecond: 2 }] }) },
  { name: 'a burst after a calm at three owners', overrides: () => ({ items: 0, steps: [[0, 1], [4 * seconds, 0.05], [12 * seconds, 3]], views: [{ from: 0, ownersOf: amongThree }] }) },
  { name: 'a burst after a calm at three owners, limits of 1 a second', overrides: targets => ({ ...all(targets, 1), items: 0, steps: [[0, 1], [4 * seconds, 0.05], [12 * seconds, 3]], views: [{ from: 0, ownersOf: amongThree }] }) },
  { name: 'two groups that hear nothing of each other for 1.5 s', overrides: () => ({ views: [agreed, { from: 8 * seconds, ownersOf: apart }, { ...agreed, from: 9.5 * seconds }] }) }
]

/** Outcomes of the plays so far, which several tests check. */
const played = new Map<string, RateLimitedOutcome>()

function play (load: RateLimitedLoad, seed: number, place: string): RateLimitedOutcome {
  const outcome = played.get(place) ?? simulateRateLimits(load, seed)
  played.set(place, outcome)
  return outcome
}

function playAll (cases: readonly LoadCase[], check: (load: RateLimitedLoad, outcome: RateLimitedOutcome, place: string) => void): void {
  for (const size of sizes) {
    for (const { name, overrides } of cases) {
      const load = loadOf(size, overrides(size.targets))
      for (const seed of size.seeds) {
        const place = `${name}, ${size.holders} holders, seed ${seed}`
        check(load, play(load, seed, place), place)
      }
    }
  }
}

function checkBound (load: RateLimitedLoad, outcome: RateLimitedOutcome, place: string, isCounted?: (holder: number) => boolean): void {
  const worst = worstWindowOf(load, outcome, isCounted)
  assert.ok(worst !== null, `${place}: no window`)
  assert.ok(worst.requests <= worst.allowed, `${place}: ${worst.requests} requests of ${worst.allowed} at target ${worst.target} from ${worst.from} ms on`)
}

describe('the model of rate limits', () => {
  const size = { holders: 12, targets: 8, seeds: [1] }

  it('gives the same outcome for the same seed', () => {
    const load = loadOf(size, { ...split(amongThree), exchange: lossy })
    assert.deepEqual(simulateRateLimits(load, 1), simulateRateLimits(load, 1))
  })

  it('adds up what a target allows while its limit changes', () => {
    const limits = [4, 1, null].map((requestsPerSecond, index) => ({ at: index * 2 * seconds, targets: [0, 1] as const, requestsPerSecond }))
    assert.equal(requestsAllowed({ limits }, 0, 1 * seconds, 4 * seconds), 6)
    assert.equal(requestsAllowed({ limits }, 0, 1 * seconds, 5 * seconds), Infinity)
    assert.equal(requestsAllowed({ limits }, 1, 1 * seconds, 2 * seconds), Infinity)
  })

  it('finds that two owners that hear nothing of each other exceed the bound together', () => {
    const load = loadOf(size, split(apart))
    assert.throws(() => { checkBound(load, simulateRateLimits(load, 1), 'two owners') }, /two owners: \d+ requests of 23/)
  })
})

describe('targets that name rate limits', () => {
  it('get no more than half beyond their limits and five requests in any 4 s, whoever grants their slots', () => {
    playAll([...steadyCases, ...otherCases], checkBound)
  })

  it('get no more from each of two groups of instances that hear nothing of each other', () => {
    for (const group of [isOfSecondGroup, (holder: number) => !isOfSecondGroup(holder)]) {
      playAll([{ name: 'two groups', overrides: () => split(apart) }], (load, outcome, place) => { checkBound(load, outcome, place, group) })
    }
  })

  it('are used to nine tenths of their limits under overload, whoever grants their slots', () => {
    playAll(steadyCases, (load, outcome, place) => {
      const used = usedShare(load, outcome, loadedFrom, loadedUntil)
      assert.ok(used >= 0.9, `${place}: ${used}`)
    })
  })

  it('are used again by all once their limits end', () => {
    const overrides = (targets: number): Partial<RateLimitedLoad> => ({ limits: [0, null].map((requestsPerSecond, index) => ({ at: index * 8 * seconds, targets: [0, targets], requestsPerSecond })) })
    playAll([{ name: 'limits that end', overrides }], (_, { arrivals }, place) => {
      const isUnused = arrivals.findIndex(list => list.filter(({ at }) => at >= 14 * seconds && at < 20 * seconds).length < 12)
      assert.equal(isUnused, -1, `${place}: target ${isUnused}`)
    })
  })
})

describe('callers beside targets that name rate limits', () => {
  it('are not refused while a target without a limit has a free slot', () => {
    const overrides = (targets: number): Partial<RateLimitedLoad> => ({ limits: [{ at: 1 * seconds, targets: [0, targets / 2], requestsPerSecond: 1 }] })
    const cases = [
      { name: 'load within the other targets', overrides: (targets: number) => ({ ...overrides(targets), onlinePerSecond: targets * 4 }) },
      { name: 'load beyond all targets', overrides: (targets: number) => ({ ...overrides(targets), onlinePerSecond: targets * 10 }) }
    ]
    playAll(cases, (load, { refusals, refusalsBesideRoom }, place) => {
      assert.equal(refusalsBesideRoom, 0, place)
      assert.equal(refusals > 0, load.onlinePerSecond > load.targets * 6, place)
    })
  })

  it('are served before batch work', () => {
    playAll([...steadyCases, ...otherCases], (_, { itemGrantsBesideWaiting }, place) => {
      assert.equal(itemGrantsBesideWaiting, 0, place)
    })
  })
})
