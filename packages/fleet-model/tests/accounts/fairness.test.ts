/** Tests of what client accounts get from admission control under overload: 73 accounts by a Zipf law, 63 targets of 8 slots. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { alternatingSteps, leastServed, simulateAccounts, waitFigures, zipfAccounts } from '../../src/index.js'
import type { AccountLoad, AccountRequest, WaitFigures } from '../../src/index.js'

const seed = Number(process.env['FAST_CHECK_SEED'] ?? 1)
const [targets, slotsOfTarget, holdMilliseconds, patienceMilliseconds] = [63, 8, 650, 229]
const capacityPerSecond = targets * slotsOfTarget / holdMilliseconds * 1_000
const flooder = 'account-0'
const [floodFrom, floodTo] = [4_000, 17_200]
const windowMilliseconds = 10_000
/** The load of the first customer: from 0.38 of the mean to 1.84 of it, and back. */
const steps = alternatingSteps([0.38, 3_800], [1.84, 2_800], floodTo)

function loadOf (share: number, rankOf: (index: number) => number, overrides: Partial<AccountLoad> = {}): AccountLoad {
  return {
    accounts: zipfAccounts(73, 1.2, capacityPerSecond * share, rankOf), targets, slotsOfTarget, holdMilliseconds, patienceMilliseconds, milliseconds: floodTo + 2_000, steps: [[0, 1]], floods: [], namesAccounts: true, takeovers: [], ...overrides
  }
}

/** Returns the figures of all accounts but the one that floods. */
function figuresOfOthers (load: AccountLoad): WaitFigures {
  return waitFigures(simulateAccounts(load, seed), patienceMilliseconds, floodFrom, floodTo, ({ account }) => account !== flooder)
}

const floods = [{ account: flooder, from: floodFrom, to: floodTo, factor: 4.7 }]

describe('accounts beside one that sends 4.7 times its usual load', () => {
  it('wait as before the flood where slots suffice for them, which they do not in the order of arrival', () => {
    const [before, during, unordered] = [figuresOfOthers(loadOf(0.6, () => 1)), figuresOfOthers(loadOf(0.6, () => 1, { floods })), figuresOfOthers(loadOf(0.6, () => 1, { floods, namesAccounts: false }))]
    assert.equal(during.requests, before.requests)
    // A slot has to become free first: of 504 slots that hold requests for 650 ms, one does every 1.3 ms.
    assert.ok(during.p50 <= before.p50 + 10 && during.p99 <= before.p99 + 100, `p50 ${before.p50} and ${during.p50}, p99 ${before.p99} and ${during.p99} ms`)
    assert.ok(during.inTimeShare > 0.999, `${during.inTimeShare}`)
    assert.ok(unordered.p50 > 500 && unordered.servedShare < 0.9, `${unordered.p50} ms, ${unordered.servedShare}`)
  })

  it('are served in time, 95 of 100, while the load goes from 0.38 of the mean to 1.84 of it and back', () => {
    const [during, unordered] = [figuresOfOthers(loadOf(0.6, () => 1, { steps, floods })), figuresOfOthers(loadOf(0.6, () => 1, { steps, floods, namesAccounts: false }))]
    assert.ok(during.inTimeShare > 0.95 && during.p50 < 50, `${during.inTimeShare}, p50 ${during.p50} ms`)
    assert.ok(unordered.inTimeShare < 0.8, `${unordered.inTimeShare}`)
  })

  it('wait as before when new owners take over that know only which slots are held', () => {
    const during = figuresOfOthers(loadOf(0.6, () => 1, { floods, takeovers: [8_000, 9_000, 13_000] }))
    assert.ok(during.p50 <= 10 && during.p99 <= 100 && during.inTimeShare > 0.999, `p50 ${during.p50}, p99 ${during.p99} ms, ${during.inTimeShare}`)
  })
})

describe('accounts in an overload', () => {
  /** Twice the seconds of an overload that begins after 4 s at half of the capacity. */
  function playOverload (share: number, rankOf: (index: number) => number): readonly AccountRequest[] {
    return simulateAccounts(loadOf(share, rankOf, { steps: [[0, 0.5 / share], [floodFrom, 1]] }), seed)
  }

  for (const [name, share, rankOf] of [
    ['of three ranks', 1.38, (index: number) => index % 3],
    ['beside three large ones of the highest rank', 1.38, (index: number) => index < 3 ? 0 : 5],
    ['beside many small ones of the highest rank', 1.38, (index: number) => index < 3 ? 5 : 0],
    ['of three ranks, two and a half times beyond the slots', 2.5, (index: number) => index % 3],
    ['of one rank, two and a half times beyond the slots', 2.5, () => 0]
  ] as const) {
    it(`get a quarter of the ratio served / asked of all in any 10 s at least: ${name}`, () => {
      const least = leastServed(playOverload(share, rankOf), floodFrom, floodTo, windowMilliseconds, 400, 1)
      assert.ok(least !== null && least.share >= 0.25, JSON.stringify(least))
    })
  }

  it('are served by rank: the highest one in time, the others with what is left', () => {
    const requests = playOverload(1.38, index => index % 3)
    const inTime = [0, 1, 2].map(rank => {
      const ofRank = new Set(Array.from({ length: 73 }, (_, index) => index).filter(index => index % 3 === rank).map(index => `account-${index}`))
      return waitFigures(requests, patienceMilliseconds, floodFrom, floodTo, ({ account }) => ofRank.has(account)).inTimeShare
    })
    const [highest = 0, middle = 0, lowest = 0] = inTime
    assert.ok(highest > 0.99 && middle < 0.8 && lowest < middle, inTime.join(' '))
  })
})
