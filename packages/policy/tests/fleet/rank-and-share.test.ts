/** Tests of what rank and share of client accounts decide in fleet admission, without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DecisionKind, defaultFleetAdmissionOptions, FleetAdmission, OrderCause, OverloadForecast, rankLabelOf, receivedStanding, SlotOutcome } from '../../src/index.js'
import type { SlotDecision, SlotRequest } from '../../src/index.js'
import { FairShare } from '../../src/fleet/fair-share.js'
import { ServiceFloor } from '../../src/fleet/service-floor.js'
import { callerOf, itemRequest, onlineRequest } from '../util/waiting-requests.js'

const slots = 4

/** Returns a fleet of one target whose slots are all held by online requests `h0` to `h3` of an account, or of none. */
function fullFleet (account: string | null = null): FleetAdmission {
  const fleet = new FleetAdmission({ ...defaultFleetAdmissionOptions, headroom: 0 })
  fleet.setTargets([{ id: 't', address: '1:1', zone: 'a', slots, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }], 0)
  for (let index = 0; index < slots; index += 1) {
    assert.equal(fleet.request(onlineRequest(`h${index}`, account === null ? {} : callerOf(account)), 0)[0]?.kind, DecisionKind.Grant)
  }
  return fleet
}

function request (permit: string, account: string, rank: number, overrides: Partial<SlotRequest> = {}): SlotRequest {
  // The hold time of 650 ms and 4 slots make a place in the queue worth 162.5 ms.
  return onlineRequest(permit, { patience: 400, ...callerOf(account, rank), ...overrides })
}

function describeDecisions (decisions: readonly SlotDecision[]): readonly string[] {
  return decisions.map(decision => `${decision.kind} ${decision.permit}${decision.kind === DecisionKind.Refuse ? ` ${decision.standing?.cause ?? 'none'} ${decision.standing?.position ?? 0}` : ''}`)
}

/** Lets an account get what it is owed, so that rank and share alone decide on its next requests. */
function satisfy (fleet: FleetAdmission, account: string, rank: number): void {
  fleet.release('h0', SlotOutcome.Stopped, 0)
  fleet.request(request(`satisfied-${account}`, account, rank), 0)
  fleet.release(`satisfied-${account}`, SlotOutcome.Stopped, 0)
  fleet.request(onlineRequest('h0', callerOf('holder')), 0)
}

describe('admission control with client accounts', () => {
  it('admits a request of a high rank where one of a low rank is refused because of it', () => {
    const fleet = fullFleet()
    satisfy(fleet, 'low', 5)
    satisfy(fleet, 'high', 0)
    assert.deepEqual(describeDecisions(fleet.request(request('l1', 'low', 5), 0)), [])
    assert.deepEqual(describeDecisions(fleet.request(request('a1', 'high', 0), 1)), [])
    // Two of the highest rank are ahead of a low one, which would wait for longer than 400 ms.
    assert.deepEqual(describeDecisions(fleet.request(request('a2', 'high', 0), 2)), ['refuse l1 rank 3'])
    assert.deepEqual(describeDecisions(fleet.request(request('l2', 'low', 5), 3)), ['refuse l2 rank 3'])
    assert.deepEqual(describeDecisions(fleet.release('h1', SlotOutcome.Finished, 4)), ['grant a1'])
  })

  it('refuses a request of an account that has used its share where it admits one of another account', () => {
    const fleet = fullFleet()
    satisfy(fleet, 'large', 1)
    satisfy(fleet, 'small', 1)
    assert.deepEqual(describeDecisions(fleet.request(request('l1', 'large', 1), 0)), [])
    assert.deepEqual(describeDecisions(fleet.request(request('l2', 'large', 1), 0)), [])
    assert.deepEqual(describeDecisions(fleet.request(request('l3', 'large', 1), 0)), ['refuse l3 share 3'])
    // It stands before the second one of the large account, which is displaced.
    assert.deepEqual(describeDecisions(fleet.request(request('s1', 'small', 1), 1)), ['refuse l2 share 3'])
  })

  it('names the load, and no rank, as the cause where all that is ahead is of the same rank and would be ahead whatever the share', () => {
    const fleet = fullFleet()
    satisfy(fleet, 'a', 0)
    satisfy(fleet, 'b', 0)
    for (const [permit, account] of [['b1', 'b'], ['c1', 'c'], ['d1', 'd']] as const) {
      fleet.request(request(permit, account, 0, { patience: 10_000 }), 0)
    }
    const refused = fleet.request(request('a1', 'a', 0, { patience: 100 }), 0)
    assert.deepEqual(describeDecisions(refused), ['refuse a1 load 4'])
  })

  it('tells neither rank nor share of a refusal of a request without an account', () => {
    const fleet = fullFleet()
    const [refusal] = ['p1', 'p2', 'p3'].flatMap(permit => fleet.request(onlineRequest(permit, { patience: 400 }), 0))
    assert.ok(refusal?.kind === DecisionKind.Refuse && !('standing' in refusal), JSON.stringify(refusal))
  })

  it('gives free slots to items of the account that holds the fewest', () => {
    const fleet = fullFleet('large')
    fleet.request(itemRequest('l', { ...callerOf('large'), due: 20_000 }), 0)
    fleet.request(itemRequest('s', { ...callerOf('small'), due: 20_500 }), 0)
    assert.deepEqual(describeDecisions(fleet.release('h0', SlotOutcome.Finished, 10)), ['grant s'])
  })

  it('knows after a takeover how many slots accounts hold', () => {
    const fleet = new FleetAdmission({ ...defaultFleetAdmissionOptions, headroom: 0 })
    fleet.setTargets([{ id: 't', address: '1:1', zone: 'a', slots: 2, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }], 0)
    const { workClass } = itemRequest('any')
    fleet.synchronize('h', [{ permit: 'x', target: 't', workClass, due: 0, ran: 0, account: 'large', tokens: 1 }, { permit: 'y', target: 't', workClass, due: 0, ran: 0 }], 0)
    fleet.request(itemRequest('l', { ...callerOf('large'), due: 20_000 }), 0)
    fleet.request(itemRequest('s', { ...callerOf('small'), due: 20_500 }), 0)
    assert.deepEqual(describeDecisions(fleet.release('y', SlotOutcome.Finished, 10)), ['grant s'])
  })
})

describe('the forecast of an overload', () => {
  it('lets a newcomer of an account wait only for returning callers of its own account and of higher ranks', () => {
    const forecast = new OverloadForecast()
    for (const [account, rank] of [['flood', 1], ['flood', 1], ['other', 1], ['high', 0], ['low', 2]] as const) {
      forecast.nextReturn(0, 1, 1_000, callerOf(account, rank).caller)
    }
    assert.deepEqual([['flood', 1], ['other', 1], ['new', 1], ['high', 0], ['low', 2]].map(([account, rank]) => {
      return forecast.returnsWithin(0, 2_000, callerOf(String(account), Number(rank)).caller)
    }), [3, 2, 1, 1, 5])
    assert.equal(forecast.returnsWithin(0, 2_000), 5)
  })
})

describe('the floor of an account', () => {
  it('owes three of ten requests to an account beside others that are all served, and one at once to an account that asks first', () => {
    const floor = new ServiceFloor()
    let served = 0
    for (let now = 0; now < 10_000; now += 100) {
      floor.recordAsked('high', now)
      floor.recordServed('high', now)
      floor.recordAsked('low', now)
      if (floor.creditOf('low', now) > 0) {
        floor.recordServed('low', now)
        served += now === 0 ? 0 : 1
      } else {
        assert.ok(now > 0)
      }
    }
    // Of two requests one and a part of the other one are served: a floor of 0.3 of that ratio, and one request in 5 s beside it.
    assert.ok(served >= 15 && served <= 32, `${served} of 100`)
  })

  it('owes the next request after 5 s to an account that was served much more than its floor before', () => {
    const floor = new ServiceFloor()
    for (let index = 0; index < 100; index += 1) {
      floor.recordAsked('a', 0)
      floor.recordServed('a', 0)
    }
    assert.ok(floor.creditOf('a', 1_000) < 0)
    floor.recordAsked('a', 5_100)
    assert.ok(floor.creditOf('a', 5_100) > 0)
  })

  it('forgets what is owed to an account that no longer asks, and goes on when the clock is set back', () => {
    const floor = new ServiceFloor()
    floor.recordAsked('other', 10_000)
    floor.recordServed('other', 10_000)
    floor.recordAsked('a', 10_000)
    const credit = floor.creditOf('a', 10_000)
    assert.ok(credit > 0 && floor.creditOf('a', 5_000) === credit)
    floor.prune(60_000)
    assert.equal(floor.creditOf('a', 60_000), 0)
    floor.recordServed('a', 1_000)
    assert.ok(Number.isFinite(floor.creditOf('a', 1_000)))
  })
})

describe('the share of an account', () => {
  it('is kept for each rank, and forgotten once other accounts have caught up', () => {
    const share = new FairShare()
    const [large, other] = [share.flowOf('large', 1), share.flowOf('large', 2)]
    share.recordServed(large, 100, true)
    assert.deepEqual([share.startOf(large), share.startOf(other)], [100, 0])
    share.prune()
    assert.equal(share.flowOf('large', 1), large)
    share.recordServed(share.flowOf('small', 1), 150, true)
    share.recordServed(share.flowOf('small', 1), 150, true)
    share.prune()
    assert.notEqual(share.flowOf('large', 1), large)
    assert.equal(share.startOf(share.flowOf('large', 1)), 150)
  })

  it('charges a reported slot to each rank of its account, and to a rank that it asks in later if it has none', () => {
    const share = new FairShare()
    const known = share.flowOf('known', 0)
    share.recordHeld('known', 10)
    share.recordHeld('new', 20)
    share.recordHeld('new', 5)
    assert.deepEqual([share.startOf(known), share.startOf(share.flowOf('new', 0)), share.startOf(share.flowOf('new', 1))], [10, 25, 0])
  })
})

describe('the place of a refused request', () => {
  it('is taken from messages only as far as it is well formed', () => {
    const standing = { cause: OrderCause.Rank, rank: 1, position: 2 }
    assert.deepEqual(receivedStanding({ ...standing, more: true }), standing)
    for (const value of [undefined, null, 'rank', {}, { ...standing, cause: 'other' }, { ...standing, rank: '1' }, { ...standing, position: undefined }]) {
      assert.equal(receivedStanding(value), null)
    }
  })

  it('has one of nine labels for its rank', () => {
    assert.deepEqual([0, 7, 8, -1, 0.5, NaN].map(rankLabelOf), ['0', '7', 'others', 'others', 'others', 'others'])
  })
})
