import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { prefixBlocks } from '../../src/routing/prefix-blocks.js'
import { PrefixIndex } from '../../src/routing/prefix-index.js'
import { rankTargets } from '../../src/routing/route.js'
import type { RouteCandidate } from '../../src/routing/route.js'

const longPrompt = 'A stylist greets the client. '.repeat(60)
const blocks = prefixBlocks(longPrompt)

function candidate (target: string, overrides: Partial<RouteCandidate> = {}): RouteCandidate {
  return { target, zone: 'a', expectedWait: 0, occupied: 0, concurrency: 8, ...overrides }
}

function firstTarget (candidates: readonly RouteCandidate[], index = new PrefixIndex()): string | undefined {
  return rankTargets({ blocks, zone: 'a', candidates }, index)[0]?.target
}

void describe('route', () => {
  void it('ranks the target that caches the prompt first', () => {
    const index = new PrefixIndex()
    index.add('warm', blocks)
    assert.equal(firstTarget([candidate('cold'), candidate('warm')], index), 'warm')
  })

  void it('ranks another target first when waiting for the cached prompt costs more than computing it', () => {
    const index = new PrefixIndex()
    index.add('warm', blocks)
    assert.equal(firstTarget([candidate('cold'), candidate('warm', { expectedWait: 5_000 })], index), 'cold')
  })

  void it('ranks the less occupied target first, and among equals the one in the same availability zone', () => {
    assert.equal(firstTarget([candidate('full', { occupied: 7 }), candidate('empty')]), 'empty')
    assert.equal(firstTarget([candidate('far', { zone: 'b' }), candidate('near')]), 'near')
  })

  void it('removes evicted blocks from the index', () => {
    const index = new PrefixIndex()
    index.add('t', blocks)
    index.remove('t', blocks.slice(1))
    assert.equal(index.match('t', blocks), 1)
  })

  void it('limits the number of blocks recorded for each target', () => {
    const index = new PrefixIndex({ blocksPerTarget: 4 })
    index.add('t', blocks)
    assert.equal(index.match('t', blocks), 0)
    assert.equal(index.match('t', blocks.slice(-4)), 4)
  })
})
