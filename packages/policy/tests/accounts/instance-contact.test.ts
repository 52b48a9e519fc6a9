/** Guards against an instance that takes its own loss of the store for one of all instances. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { InstanceContact } from '../../src/accounts/instance-contact.js'

const startedAt = 1_790_000_000_000
const stepMilliseconds = 300
const others = Array.from({ length: 60 }, (_, number) => `10.0.0.${number}`)

/** Lets messages arrive and members be seen from one time to another. */
function play (contact: InstanceContact, from: number, until: number, seen: readonly string[], isConfirmed = false): void {
  for (let now = from; now <= until; now += stepMilliseconds) {
    contact.recordMessage(now)
    contact.recordSeen(seen, isConfirmed, now)
  }
}

/** An instance that has seen 60 others for 20 s. */
function settledContact (): { readonly contact: InstanceContact, readonly now: number } {
  const contact = new InstanceContact()
  play(contact, startedAt, startedAt + 20_000, others, true)
  return { contact, now: startedAt + 20_000 }
}

describe('InstanceContact', () => {
  it('sees half while all others are heard, and an instance without others does always', () => {
    const { contact, now } = settledContact()
    assert.equal(contact.seesHalf(others, now), true)
    assert.equal(contact.known, 61)
    assert.equal(new InstanceContact().seesHalf([], startedAt), true)
  })

  it('does not for an instance that is cut off from all others, at once after the silence and a minute later', () => {
    const { contact, now } = settledContact()
    assert.equal(contact.seesHalf(others, now + 1_600), false)
    for (let later = now + 2_000; later <= now + 60_000; later += stepMilliseconds) {
      assert.equal(contact.seesHalf([], later), false, `${later - now} ms after the cut`)
    }
  })

  it('does not for one of two instances that is cut off from the other', () => {
    const contact = new InstanceContact()
    play(contact, startedAt, startedAt + 20_000, ['10.0.0.1'], true)
    assert.equal(contact.seesHalf([], startedAt + 40_000), false)
  })

  for (const [size, expected] of [[20, false], [30, false], [31, true], [40, true]] as const) {
    it(`${expected ? 'does' : 'does not'} in a group of ${size} of 61, for however long it is cut off`, () => {
      const { contact, now } = settledContact()
      const group = others.slice(0, size - 1)
      for (let later = now; later <= now + 60_000; later += stepMilliseconds) {
        contact.recordMessage(later)
        contact.recordSeen(group, false, later)
        if (later <= now + 10_000 || !expected) {
          assert.equal(contact.seesHalf(group, later), expected, `${later - now} ms after the cut`)
        }
      }
    })
  }

  it('does not for an instance that was stopped for 8 s until it has heard others for a while', () => {
    const { contact, now } = settledContact()
    const resumedAt = now + 8_000
    assert.equal(contact.seesHalf(others, resumedAt), false)
    // Messages that arrived during the stop are read at once.
    contact.recordMessage(resumedAt)
    contact.recordMessage(resumedAt)
    assert.equal(contact.seesHalf(others, resumedAt), false)
    play(contact, resumedAt, resumedAt + 2_900, others)
    assert.equal(contact.seesHalf(others, resumedAt + 2_900), false)
    play(contact, resumedAt + 3_000, resumedAt + 3_300, others)
    assert.equal(contact.seesHalf(others, resumedAt + 3_300), true)
  })

  it('forgets members that have left while the store is read', () => {
    const { contact, now } = settledContact()
    const left = others.slice(0, 20)
    play(contact, now, now + 11_000, left, true)
    assert.equal(contact.known, left.length + 1)
    assert.equal(contact.seesHalf(left, now + 11_000), true)
  })

  it('does not after the clock was set back until messages have come for a while', () => {
    const { contact, now } = settledContact()
    const setTo = now - 3_600_000
    assert.equal(contact.seesHalf(others, setTo), false)
    play(contact, setTo, setTo + 3_600, others)
    assert.equal(contact.seesHalf(others, setTo + 3_600), true)
  })
})
