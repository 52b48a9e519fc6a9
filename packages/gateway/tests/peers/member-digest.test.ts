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

  it('is rejected if a number is out of range', () => {
    const sound = packMembers([{ address: '10.1.2.3', zone: 'a', incarnation: 1_790_000_000_000, capacity: 1_000, version: 1, state: MemberState.Ready, suspected: true }])
    for (const status of [0, 1, 2, 3, 4, 5, 6, 7]) {
      assert.equal(isMemberDigest({ ...sound, numbers: sound.numbers.with(5, status) }), true, `status ${status}`)
    }
    const odd = [
      [0, -1], [0, 2 ** 32], [0, 0.5], [1, 1], [1, -1], [1, NaN], [2, Number.MAX_SAFE_INTEGER], [2, NaN], [2, -1_800_000_000_000], [3, Infinity], [3, NaN], [3, -1], [3, 1e9],
      [4, Infinity], [4, -1], [5, -1], [5, 8], [5, 9], [5, 0.5]
    ] as const
    for (const [index, number] of odd) {
      assert.equal(isMemberDigest({ ...sound, numbers: sound.numbers.with(index, number) }), false, `number ${index} is ${number}`)
    }
    for (const incarnation of [NaN, Infinity, -1, 0.5, Number.MAX_SAFE_INTEGER]) {
      assert.equal(isMemberDigest({ ...sound, incarnation }), false, `the incarnation is ${incarnation}`)
    }
  })

  it('is rejected if it is malformed', () => {
    for (const digest of [null, 7, {}, { zones: ['a'], incarnation: 1, numbers: [1, 2, 3] }, { zones: [1], incarnation: 1, numbers: [] }, { zones: [], incarnation: '1', numbers: [] }]) {
      assert.equal(isMemberDigest(digest), false)
      assert.equal(isPeerMessage({ type: PeerMessageType.MemberUpdates, members: digest }), false)
    }
    assert.equal(isPeerMessage({ type: PeerMessageType.MemberUpdates, members: packMembers([]) }), true)
  })
})
