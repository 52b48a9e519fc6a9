/** Tests when peers are asked again after they had no access to the store either. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RelayPauses } from '../../src/store/relay-pauses.js'

describe('RelayPauses', () => {
  it('pauses for 0.4 s at first, twice as long each time up to 1.6 s, and for 0.4 s again once a peer had access', () => {
    const pauses = new RelayPauses()
    let now = 0
    const lengths: number[] = []
    for (const hasAccess of [false, false, false, true]) {
      pauses.begin('a', now)
      const from = now
      while (pauses.isActive('a', now)) {
        now += 1
      }
      lengths.push(now - from)
      if (hasAccess) {
        pauses.end('a')
      }
    }
    pauses.begin('a', now)
    assert.deepEqual([lengths, pauses.isActive('a', now + 399), pauses.isActive('a', now + 400)], [[400, 800, 1_600, 1_600], true, false])
  })

  it('pauses each partition by itself', () => {
    const pauses = new RelayPauses()
    pauses.begin('a', 0)
    assert.deepEqual([pauses.isActive('a', 1), pauses.isActive('b', 1)], [true, false])
    pauses.end('b')
  })
})
