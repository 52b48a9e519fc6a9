/** Plays holders that are cut off from targets against fleet admission, without a network or a clock: what the others get, and how soon all get slots again. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CutKind, FleetPlay } from '../util/fleet-play.js'
import type { PlayedRequest } from '../util/fleet-play.js'

const cutAt = 4_000
const mendedAt = 12_000
const end = 18_000
/** Time within which holders that are not cut off must get slots. */
const promptMilliseconds = 300
/** Time after the begin of a cut from which it must make no difference to them. */
const detectionMilliseconds = 2_000
/** Time after the end of a cut from which all must be served as before. */
const recoveryMilliseconds = 2_000
const requestsPerSecond = 4
const holdSeconds = 0.65
const seeds = [1, 2, 3]

/** Creates a play in which requests take half of all slots. */
function createPlay (holders: number, targets: number, seed: number): FleetPlay {
  const slots = Math.ceil(holders * requestsPerSecond * holdSeconds * 2 / targets)
  return new FleetPlay({ holders, targets, slots, rate: requestsPerSecond, seed })
}

function isPrompt ({ isServed, arrivedAt, grantedAt }: PlayedRequest): boolean {
  return isServed && grantedAt !== null && grantedAt - arrivedAt <= promptMilliseconds
}

function shareOf (requests: readonly PlayedRequest[], condition: (request: PlayedRequest) => boolean): number {
  assert.ok(requests.length > 0, 'no requests')
  return requests.filter(condition).length / requests.length
}

/** Returns the requests of some holders that arrived in a time, in all plays. */
type Requests = (isIncluded: (holder: number) => boolean, from: number, to: number) => readonly PlayedRequest[]

/** Plays with each seed, when the requests are first asked for. */
function playAll (holders: number, targets: number, prepare: (play: FleetPlay) => void): Requests {
  let plays: readonly FleetPlay[] | null = null
  return (isIncluded, from, to) => {
    plays ??= seeds.map(seed => {
      const play = createPlay(holders, targets, seed)
      prepare(play)
      play.run(end)
      return play
    })
    return plays.flatMap(play => play.requestsOf(isIncluded, from, to))
  }
}

for (const [holders, targets] of [[12, 8], [12, 3], [48, 48]] as const) {
  for (const kind of Object.values(CutKind)) {
    for (const share of [0.3, 0.6, 0.9]) {
      const isCut = (holder: number): boolean => holder < Math.floor(holders * share)
      const requestsOf = playAll(holders, targets, play => {
        play.at(cutAt, () => { play.cut(isCut, kind) })
        play.at(mendedAt, () => { play.mend() })
      })

      describe(`${share} of ${holders} holders are cut off from ${targets} targets (${kind})`, () => {
        it('the others get slots soon', () => {
          const requests = requestsOf(holder => !isCut(holder), cutAt, mendedAt)
          const prompt = shareOf(requests, isPrompt)
          assert.ok(prompt >= 0.95, `${prompt} of ${requests.length}`)
          const later = shareOf(requests.filter(({ arrivedAt }) => arrivedAt >= cutAt + detectionMilliseconds), isPrompt)
          assert.ok(later >= 0.99, `${later} of the later ones`)
        })

        it('all get slots again soon after the end', () => {
          const requests = requestsOf(() => true, mendedAt + recoveryMilliseconds, end - 2_000)
          const prompt = shareOf(requests, isPrompt)
          assert.ok(prompt >= 0.99, `${prompt} of ${requests.length}`)
        })
      })
    }
  }
}

for (const kind of Object.values(CutKind)) {
  describe(`all holders are cut off from all targets (${kind})`, () => {
    it('all get slots again soon after the end', () => {
      const requestsOf = playAll(12, 8, play => {
        play.at(cutAt, () => { play.cut(() => true, kind) })
        play.at(mendedAt, () => { play.mend() })
      })
      const requests = requestsOf(() => true, mendedAt + recoveryMilliseconds, end - 2_000)
      const prompt = shareOf(requests, isPrompt)
      assert.ok(prompt >= 0.99, `${prompt} of ${requests.length}`)
    })
  })

  describe(`holders of one availability zone reach only its targets (${kind})`, () => {
    it('all get slots soon', () => {
      const requestsOf = playAll(12, 9, play => {
        play.at(cutAt, () => { play.cut((holder, target) => play.zoneOf(holder) === 'a' && play.zoneOf(target) !== 'a', kind) })
        play.at(mendedAt, () => { play.mend() })
      })
      const isOther = (holder: number): boolean => holder % 3 !== 0
      const prompt = shareOf(requestsOf(isOther, cutAt, end - 2_000), isPrompt)
      assert.ok(prompt >= 0.99, `${prompt} of the others`)
      const served = shareOf(requestsOf(holder => !isOther(holder), cutAt + recoveryMilliseconds, end - 2_000), ({ isServed }) => isServed)
      assert.ok(served >= 0.95, `${served} of those in the zone`)
    })
  })
}

describe('targets that crash', () => {
  it('get few requests of the holders that are not cut off while others are', () => {
    for (const seed of seeds) {
      const play = createPlay(12, 8, seed)
      const isCut = (holder: number): boolean => holder < 7
      play.at(cutAt, () => { play.cut(isCut, CutKind.Reset) })
      play.at(cutAt + 1_000, () => { play.crash([0]) })
      play.run(mendedAt)
      const tries = play.fruitless.filter(({ holder }) => !isCut(holder)).length
      // Five holders find it out, and it is tried in growing intervals of up to two seconds.
      assert.ok(tries <= 20, `${tries} tries`)
    }
  })

  it('get few requests when 15 in 100 crash at once, and all requests are served elsewhere', () => {
    for (const seed of seeds) {
      const play = createPlay(48, 48, seed)
      const crashed = [0, 1, 2, 3, 4, 5, 6]
      play.at(cutAt, () => { play.crash(crashed) })
      play.at(mendedAt, () => { play.start(crashed) })
      play.run(end)
      const served = shareOf(play.requestsOf(() => true, cutAt, mendedAt), ({ isServed }) => isServed)
      assert.ok(served >= 0.99, `${served} served`)
      const tries = play.fruitless.filter(({ at }) => at < cutAt + 1_000).length
      assert.ok(tries <= crashed.length * 4, `${tries} tries`)
    }
  })
})
