import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ownerOf } from '../../src/ownership/owner-of.js'
import { shouldClaim } from '../../src/ownership/should-claim.js'

const candidates = Array.from({ length: 12 }, (_, index) => ({ id: `i${index}`, zone: 'abc'[index % 3] ?? '' }))
const keys = Array.from({ length: 1_000 }, (_, index) => `key ${index}`)

void describe('ownerOf', () => {
  void it('changes the owner only of the keys of a removed candidate', () => {
    const rest = candidates.slice(1)
    for (const key of keys) {
      const before = ownerOf(key, candidates, null)
      if (before?.id !== 'i0') {
        assert.equal(ownerOf(key, rest, null)?.id, before?.id)
      }
    }
  })

  void it('prefers the availability zone and spreads keys over its candidates', () => {
    const owners = keys.map(key => ownerOf(key, candidates, 'b'))
    assert.ok(owners.every(owner => owner?.zone === 'b'))
    assert.equal(new Set(owners.map(owner => owner?.id)).size, 4)
    assert.equal(ownerOf('key', [], null), null)
  })
})

void describe('shouldClaim', () => {
  const live = candidates.slice(0, 3)
  const situation = { job: 'j', owner: null, liveProcesses: live, ownerIdleMilliseconds: 0, ownerTimeoutMilliseconds: 100 }
  const claimers = (overrides: object): readonly string[] => {
    return live.map(candidate => candidate.id).filter(ownId => shouldClaim({ ...situation, ownId, ...overrides }))
  }

  void it('lets one process claim a job without an owner, and none a job whose owner is live', () => {
    assert.equal(claimers({}).length, 1)
    assert.deepEqual(claimers({ owner: 'i1' }), [])
  })

  void it('lets one other process claim the job of an owner that timed out or left', () => {
    const claimersAfterTimeout = claimers({ owner: 'i1', ownerIdleMilliseconds: 101 })
    assert.equal(claimersAfterTimeout.length, 1)
    assert.ok(!claimersAfterTimeout.includes('i1'))
    assert.equal(claimers({ owner: 'gone' }).length, 1)
  })
})
