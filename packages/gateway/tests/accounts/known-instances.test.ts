/** Tests how many instances count as known: a group that is cut off must not take itself for all of them. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MemberState } from '../../src/index.js'
import type { Member } from '../../src/index.js'
import { KnownInstances } from '../../src/accounts/known-instances.js'

const start = 1_000_000

function member (number: number, state: MemberState = MemberState.Ready): Member {
  return { address: `10.0.0.${number}`, zone: 'a', incarnation: 1, capacity: 1, state }
}

describe('KnownInstances', () => {
  it('counts instances for 10 s after they were last seen', () => {
    const instances = new KnownInstances()
    const all = [1, 2, 3, 4].map(number => member(number))
    assert.deepEqual(instances.groupOf(all, start), { seen: 4, known: 4 })
    assert.deepEqual(instances.groupOf(all, start + 60_000), { seen: 4, known: 4 })
    const group = all.slice(0, 2)
    assert.deepEqual(instances.groupOf(group, start + 60_100), { seen: 2, known: 4 })
    assert.deepEqual(instances.groupOf(group, start + 70_000), { seen: 2, known: 4 })
    assert.deepEqual(instances.groupOf(group, start + 70_700), { seen: 2, known: 2 })
  })

  it('remembers the others longer while it sees none of them, and until they have become visible again', () => {
    const instances = new KnownInstances()
    const all = [1, 2, 3, 4].map(number => member(number))
    instances.groupOf(all, start)
    assert.deepEqual(instances.groupOf(all.slice(0, 1), start + 100), { seen: 1, known: 4 })
    assert.deepEqual(instances.groupOf(all.slice(0, 1), start + 50_000), { seen: 1, known: 4 })
    assert.deepEqual(instances.groupOf(all.slice(0, 2), start + 50_600), { seen: 2, known: 4 })
    assert.deepEqual(instances.groupOf(all.slice(0, 2), start + 61_000), { seen: 2, known: 2 })
    const alone = all.slice(0, 1)
    instances.groupOf(alone, start + 62_000)
    assert.deepEqual(instances.groupOf(alone, start + 123_000), { seen: 1, known: 1 })
  })

  it('forgets an instance that said that it leaves', () => {
    const instances = new KnownInstances()
    instances.groupOf([member(1), member(2, MemberState.Draining)], start)
    assert.deepEqual(instances.groupOf([member(1)], start + 100), { seen: 1, known: 1 })
  })

  it('counts an address once, whichever process is there', () => {
    const instances = new KnownInstances()
    instances.groupOf([member(1), member(2)], start)
    instances.groupOf([member(1)], start + 100)
    assert.deepEqual(instances.groupOf([member(1), { ...member(2), incarnation: 2 }], start + 200), { seen: 2, known: 2 })
  })
})
