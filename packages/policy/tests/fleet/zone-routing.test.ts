/** Tests which share of requests leaves a zone, on zones that are equally loaded, short of targets, or without any. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { DecisionKind, defaultFleetAdmissionOptions, defaultZoneRoutingOptions, FleetAdmission, SlotOutcome, ZoneCause, ZoneRouting } from '../../src/index.js'
import type { FleetTarget, SlotRequest, ZoneLoad } from '../../src/index.js'

const priced = { ...defaultZoneRoutingOptions, crossZonePrice: 0.1 }
const hold = 500

function loadsOf (zones: Readonly<Record<string, readonly [slots: number, demand: number]>>): ReadonlyMap<string, ZoneLoad> {
  return new Map(Object.entries(zones).map(([zone, [slots, demand]]) => [zone, { slots, demand }]))
}

/** Updates each 100 ms with the same loads; returns the share of zone `a` after each update. */
function sharesOf (routing: ZoneRouting, loads: ReadonlyMap<string, ZoneLoad>, updates: number, from = 0): readonly number[] {
  return Array.from({ length: updates }, (_, index) => {
    routing.update(loads, hold, from + index * 100)
    return routing.shareOf('a')
  })
}

const short = loadsOf({ a: [40, 60], b: [136, 60], c: [136, 60] })
const equal = loadsOf({ a: [104, 60], b: [104, 60], c: [104, 60] })

function request (permit: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return { permit, holder: 'h', workClass: WorkClass.Online, zone: 'a', prefix: [], digest: '', excluded: [], continues: null, patience: 200, spent: 0, latestReturn: 1_000, due: 0, ran: 0, sinceStart: 0, ...overrides }
}

function target (id: string, zone: string): FleetTarget {
  return { id, address: id, zone, slots: 8, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }
}

describe('ZoneRouting', () => {
  it('lets nothing leave equally loaded zones, at low load and beyond all slots', () => {
    assert.ok(sharesOf(new ZoneRouting(priced), equal, 100).every(share => share < 1e-9))
    assert.ok(sharesOf(new ZoneRouting(priced), loadsOf({ a: [104, 150], b: [104, 150], c: [104, 150] }), 100).every(share => share < 1e-9))
  })

  it('raises and lowers the share by a tenth a second at most, and does not oscillate (guards against herding into the zone that looked empty)', () => {
    const routing = new ZoneRouting(priced)
    const rising = sharesOf(routing, short, 150)
    rising.slice(1).forEach((share, index) => { assert.ok(share - (rising[index] ?? 0) <= 0.01 + 1e-9 && share >= (rising[index] ?? 0) - 1e-9) })
    const reached = rising.at(-1) ?? 0
    // 60 slots of demand for 40 slots that are filled to about 0.7.
    assert.ok(reached > 0.4 && reached < 0.65, `${reached}`)
    const falling = sharesOf(routing, equal, 150, 15_000)
    falling.slice(1).forEach((share, index) => { assert.ok((falling[index] ?? 0) - share <= 0.01 + 1e-9) })
    assert.ok((falling.at(-1) ?? 1) < 0.01)
  })

  it('does not jump after the process stood still, nor after the clock was set back', () => {
    const routing = new ZoneRouting(priced)
    routing.update(equal, hold, 100_000)
    routing.update(short, hold, 160_000)
    assert.ok(routing.shareOf('a') <= 0.1)
    routing.update(short, hold, 1_000)
    assert.ok(routing.shareOf('a') <= 0.1)
  })

  it('keeps to the greatest share, and to the room of the other zones', () => {
    assert.ok((sharesOf(new ZoneRouting({ ...priced, greatestCrossZoneShare: 0.2 }), short, 150).at(-1) ?? 1) <= 0.2)
    assert.ok((sharesOf(new ZoneRouting(priced), loadsOf({ a: [40, 60], b: [40, 40], c: [40, 40] }), 150).at(-1) ?? 1) < 0.05)
  })

  it('lets all requests leave a zone without targets', () => {
    assert.ok((sharesOf(new ZoneRouting(priced), loadsOf({ a: [0, 60], b: [136, 60], c: [136, 60] }), 150).at(-1) ?? 0) > 0.99)
  })

  it('lets fewer requests leave at a higher price', () => {
    const [low, high] = [0.01, 1].map(crossZonePrice => sharesOf(new ZoneRouting({ ...priced, crossZonePrice }), short, 150).at(-1) ?? 0)
    assert.ok((low ?? 0) > (high ?? 1) + 0.05, `${low}, ${high}`)
  })
})

describe('FleetAdmission with a price of traffic between zones', () => {
  const options = { ...defaultFleetAdmissionOptions, headroom: 0, crossZonePrice: 0.1 }

  function grant (fleet: FleetAdmission, permit: string, now: number, overrides: Partial<SlotRequest> = {}): string | null {
    const [decision] = fleet.request(request(permit, overrides), now)
    return decision?.kind === DecisionKind.Grant ? decision.target : null
  }

  it('keeps requests in their zone while it has a free slot, sends them to others once it has none, and says why', () => {
    const fleet = new FleetAdmission(options)
    fleet.setTargets([target('own', 'a'), target('other', 'b'), target('third', 'b')], 0)
    assert.deepEqual(Array.from({ length: 9 }, (_, index) => grant(fleet, `p${index}`, index)), [...Array.from({ length: 8 }, () => 'own'), 'other'])
    assert.equal(grant(fleet, 'z', 20, { zone: 'none' }) === null, false)
    assert.deepEqual(fleet.zoneGrants().map(({ zone, counts }) => [zone, Object.fromEntries(counts)]), [
      ['a', { [ZoneCause.Own]: 8, [ZoneCause.Full]: 1 }],
      ['none', { [ZoneCause.Empty]: 1 }]
    ])
  })

  it('does not keep requests at a target of their zone that fails (guards against a price that outweighs failures)', () => {
    const fleet = new FleetAdmission(options)
    fleet.setTargets([target('own', 'a'), target('other', 'b')], 0)
    for (let index = 0; index < 6; index += 1) {
      assert.equal(grant(fleet, `f${index}`, index, { excluded: ['other'] }), 'own')
      fleet.release(`f${index}`, SlotOutcome.Failed, index)
    }
    assert.equal(grant(fleet, 'p', 10), 'other')
  })

  it('without a price, decides by one busy slot, as before', () => {
    const fleet = new FleetAdmission({ ...options, crossZonePrice: 0 })
    fleet.setTargets([target('own', 'a'), target('other', 'b')], 0)
    assert.deepEqual(Array.from({ length: 4 }, (_, index) => grant(fleet, `p${index}`, index)), ['own', 'own', 'other', 'own'])
  })
})
