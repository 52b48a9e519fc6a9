/** Tests which members clients are told to connect to. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { selectEntryMembers } from '../../src/index.js'

interface TestMember {
  readonly kind: string
  readonly zone: string
  readonly capacity: number
}

function members (zone: string, strong: number, weak: number): readonly TestMember[] {
  const create = (kind: string, count: number, capacity: number): readonly TestMember[] => {
    return Array.from({ length: count }, () => ({ kind: `${zone}-${kind}`, zone, capacity }))
  }
  return [...create('strong', strong, 1_350), ...create('weak', weak, 324)]
}

function selected (fleet: readonly TestMember[], zone: string): ReadonlySet<string> {
  return new Set(selectEntryMembers(fleet, zone).map(({ kind }) => kind))
}

describe('selectEntryMembers', () => {
  it('returns the members with much capacity in the client\'s availability zone', () => {
    const fleet = [...members('a', 6, 20), ...members('b', 6, 20)]
    assert.deepEqual(selected(fleet, 'a'), new Set(['a-strong']))
    assert.equal(selectEntryMembers(fleet, 'a').length, 6)
  })

  it('returns all members of an availability zone that has lost most of these', () => {
    const fleet = [...members('a', 2, 20), ...members('b', 6, 20)]
    assert.deepEqual(selected(fleet, 'a'), new Set(['a-strong', 'a-weak']))
  })

  it('returns all members of a fleet whose members are alike', () => {
    const fleet = members('a', 0, 12)
    assert.equal(selectEntryMembers(fleet, 'a').length, 12)
  })

  it('leaves out members that are cut off from targets', () => {
    const fleet = members('a', 6, 0).map((member, index) => ({ ...member, kind: String(index), isDetached: index < 4 }))
    assert.deepEqual(selected([...fleet, ...members('b', 6, 0)], 'a'), new Set(['4', '5']))
  })

  it('returns members of other availability zones for one that is cut off from targets', () => {
    const fleet = [...members('a', 6, 20).map(member => ({ ...member, isDetached: true })), ...members('b', 6, 0)]
    assert.deepEqual(selected(fleet, 'a'), new Set(['b-strong']))
  })

  it('returns the members of a fleet that is cut off from targets as a whole', () => {
    const fleet = [...members('a', 6, 20), ...members('b', 6, 20)].map(member => ({ ...member, isDetached: true }))
    assert.deepEqual(selected(fleet, 'a'), new Set(['a-strong']))
  })

  it('returns members of all availability zones for one that has too few', () => {
    const fleet = [...members('a', 1, 0), ...members('b', 6, 20)]
    assert.equal(selectEntryMembers(fleet, 'a').length, 27)
  })
})
