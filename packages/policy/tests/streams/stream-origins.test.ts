/** Tests how long the origins of streams are remembered, and how many. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { streamMemoryMilliseconds, StreamOrigins } from '../../src/index.js'
import type { KnownOrigin } from '../../src/index.js'

const origin: KnownOrigin = { service: 's', softwareVersion: 'v1', target: 't', born: 1 }

describe('StreamOrigins', () => {
  it('remembers an origin for as long as its stream may be taken up, counted from its first event', () => {
    const origins = new StreamOrigins()
    origins.add('a', origin, 1_000, 6_000)
    assert.deepEqual(origins.get('a', 1_000 + streamMemoryMilliseconds), origin)
    assert.equal(origins.get('a', 1_001 + streamMemoryMilliseconds), null)
    assert.equal(origins.get('b', 1_000), null)
  })

  it('forgets old origins when others come', () => {
    const origins = new StreamOrigins()
    for (let second = 0; second < 100; second += 1) {
      for (let stream = 0; stream < 40; stream += 1) {
        origins.add(`${second}/${stream}`, origin, second * 1_000, second * 1_000)
      }
    }
    assert.ok(origins.size <= 40 * (streamMemoryMilliseconds / 1_000 + 2), `${origins.size} are kept`)
  })

  it('keeps the newest when there are too many', () => {
    const origins = new StreamOrigins()
    for (let stream = 0; stream < 40_000; stream += 1) {
      origins.add(`${stream}`, origin, 1_000, 1_000)
    }
    assert.ok(origins.size < 20_000)
    assert.deepEqual(origins.get('39999', 1_000), origin)
    assert.equal(origins.get('0', 1_000), null)
  })

  it('returns the origins of one service with their ages', () => {
    const origins = new StreamOrigins()
    origins.add('a', origin, 1_000, 1_000)
    origins.add('b', { ...origin, service: 'other' }, 1_000, 1_000)
    assert.deepEqual(origins.ofServices(new Set(['s']), 4_000), [{ attempt: 'a', origin, age: 3_000 }])
  })
})
