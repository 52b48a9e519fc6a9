/** Tests the encoding of member updates, and the checks on received ones. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { assert as assertProperty, constantFrom, array, boolean, integer, nat, property, record, tuple } from 'fast-check'
import { isMemberDigest, packMembers, unpackMembers } from '../../src/peers/member-digest.js'
import { isPeerMessage, MemberState, PeerMessageType } from '../../src/index.js'

const part = integer({ min: 0, max: 255 })
const update = record({
  address: tuple(part, part, part, part).map(parts => parts.join('.')),
  zone: constantFrom('zone-a', 'zone-b', ''),
  incarnation: integer({ min: 1_700_000_000_000, max: 1_900_000_000_000 }),
  capacity: nat(100_000),
  version: nat(),
  state: constantFrom(...Object.values(MemberState)),
  suspected: boolean()
})

describe('member digest', () => {
  it('decodes to the updates that were encoded', () => {
    assertProperty(property(array(update), updates => {
      assert.deepEqual(unpackMembers(packMembers(updates)), updates.map(each => ({ ...each })))
    }))
  })

  it('is rejected if it is malformed', () => {
    for (const digest of [null, 7, {}, { zones: ['a'], incarnation: 1, numbers: [1, 2, 3] }, { zones: [1], incarnation: 1, numbers: [] }, { zones: [], incarnation: '1', numbers: [] }]) {
      assert.equal(isMemberDigest(digest), false)
      assert.equal(isPeerMessage({ type: PeerMessageType.MemberUpdates, members: digest }), false)
    }
    assert.equal(isPeerMessage({ type: PeerMessageType.MemberUpdates, members: packMembers([]) }), true)
  })
})
