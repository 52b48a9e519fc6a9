/** Tests the encoding of member rows, and the checks on received ones. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { assert as assertProperty, constantFrom, integer, nat, property, tuple, array } from 'fast-check'
import { isMemberDigest, packMembers, unpackMembers } from '../../src/peers/member-digest.js'
import { isPeerMessage, MemberState, PeerMessageType } from '../../src/index.js'
import type { MemberRow } from '../../src/index.js'

const part = integer({ min: 0, max: 255 })
const row = tuple(
  tuple(part, part, part, part).map(parts => parts.join('.')),
  constantFrom('zone-a', 'zone-b', ''),
  integer({ min: 1_700_000_000_000, max: 1_900_000_000_000 }),
  nat(100_000),
  nat(),
  constantFrom(...Object.values(MemberState))
)

describe('member digest', () => {
  it('decodes to the rows that were encoded', () => {
    assertProperty(property(array(row), rows => {
      assert.deepEqual(unpackMembers(packMembers(rows as MemberRow[])), rows)
    }))
  })

  it('is rejected if it is malformed', () => {
    for (const digest of [null, 7, {}, { zones: ['a'], incarnation: 1, numbers: [1, 2, 3] }, { zones: [1], incarnation: 1, numbers: [] }, { zones: [], incarnation: '1', numbers: [] }]) {
      assert.equal(isMemberDigest(digest), false)
      assert.equal(isPeerMessage({ type: PeerMessageType.Gossip, members: digest }), false)
    }
    assert.equal(isPeerMessage({ type: PeerMessageType.Gossip, members: packMembers([]) }), true)
  })
})
