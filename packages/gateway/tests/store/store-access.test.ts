/** Tests what outcomes of direct calls say of the store. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StoreAccess } from '../../src/store/store-access.js'

/** Notes a call that ends at once. */
function note (access: StoreAccess, partition: string, isServed: boolean, now = 0, isWhole = false): boolean {
  return access.note(partition, isServed, isWhole, access.mark(partition), now)
}

describe('StoreAccess', () => {
  it('takes the store for away once two partitions refuse calls and none is served meanwhile, and for back once one is served', () => {
    const access = new StoreAccess()
    note(access, 'a', false)
    assert.deepEqual([access.isAway, access.isRefused('a'), access.isRefused('b')], [false, true, false])
    note(access, 'b', false)
    assert.deepEqual([access.isAway, access.isRefused('c')], [true, true])
    note(access, 'c', true)
    assert.deepEqual([access.isAway, access.isRefused('c')], [false, false])
  })

  it('calls the partitions that refused at once when the store is back, and notices the next outage', () => {
    const access = new StoreAccess()
    note(access, 'a', false)
    note(access, 'b', false)
    assert.equal(access.shouldCall('a', 0), true)
    assert.equal(access.shouldCall('a', 50), false)
    note(access, 'c', true, 50)
    assert.deepEqual([access.shouldCall('a', 50), access.shouldCall('b', 50)], [true, true])
    note(access, 'd', false, 6_000)
    note(access, 'e', false, 6_000)
    assert.equal(access.isAway, true)
  })

  it('forgets the refusal of a partition that nothing calls, and notices an outage beside it', () => {
    const access = new StoreAccess()
    note(access, 'unused', false)
    note(access, 'a', true)
    assert.equal(access.shouldCall('unused', 50), false)
    assert.equal(access.shouldCall('a', 3_000), true)
    assert.equal(access.isRefused('unused'), false)
    note(access, 'b', false, 3_000)
    note(access, 'c', false, 3_000)
    assert.equal(access.isAway, true)
  })

  it('notices that the store is away as a whole soon after only some partitions were', () => {
    const access = new StoreAccess()
    note(access, 'a', false)
    note(access, 'b', true)
    for (let now = 100; now <= 1_500; now += 100) {
      access.shouldCall('a', now)
      access.shouldCall('b', now)
      note(access, 'a', false, now)
      note(access, 'b', false, now)
    }
    assert.equal(access.isAway, false)
    access.shouldCall('b', 1_700)
    note(access, 'b', false, 1_700)
    assert.equal(access.isAway, true)
  })

  it('tries any partition at once after refusals that may have come beside calls that were served', () => {
    const access = new StoreAccess()
    const together = ['a', 'b', 'c'].map(partition => access.mark(partition))
    together.slice(0, 2).forEach((mark, index) => { access.note('ab'[index] ?? '', false, false, mark, 0) })
    access.note('c', true, false, together[2] ?? assert.fail(), 0)
    assert.deepEqual([access.isAway, access.shouldCall('c', 1)], [true, true])
    note(access, 'c', true, 2)
    note(access, 'a', false, 3)
    note(access, 'b', false, 3)
    assert.deepEqual([access.isAway, access.isRefused('a'), access.isRefused('c')], [false, true, false])
  })

  it('goes on to call the other partitions while some are away, however many', () => {
    const access = new StoreAccess()
    note(access, 'a', false)
    note(access, 'b', true)
    for (const partition of ['c', 'd', 'e']) {
      note(access, partition, false)
      assert.equal(access.shouldCall(partition, 0), false)
    }
    assert.deepEqual([access.isAway, access.isRefused('a'), access.isRefused('b'), access.shouldCall('f', 0)], [false, true, false, true])
  })

  it('does not take an answer to a call that began before a refusal for one that others are served', () => {
    const access = new StoreAccess()
    const waiting = access.mark('b')
    note(access, 'a', false)
    access.note('b', true, false, waiting, 0)
    note(access, 'c', false)
    assert.equal(access.isAway, true)
  })

  it('takes the store for away when it is silent, whichever partition the call concerned', () => {
    const access = new StoreAccess()
    note(access, 'a', false)
    note(access, 'b', true)
    note(access, 'c', false, 0, true)
    assert.deepEqual([access.isAway, access.isRefused('b')], [true, true])
  })

  it('tries a partition that refuses calls after pauses that double up to 0.8 s', () => {
    const access = new StoreAccess()
    note(access, 'a', false)
    const triedAt = Array.from({ length: 5_000 }, (_, now) => now).filter(now => access.shouldCall('a', now))
    const pauses = triedAt.slice(1).map((now, index) => now - (triedAt[index] ?? 0))
    assert.equal(triedAt[0], 100)
    assert.ok(pauses.every((pause, index) => pause <= Math.min(800, 200 * 2 ** index) + 1 && pause >= Math.min(800, 200 * 2 ** index) / 2), pauses.join(', '))
  })

  it('ignores the outcome of a call that began before the last change of its partition', () => {
    const access = new StoreAccess()
    const early = access.mark('a')
    note(access, 'a', false)
    assert.equal(access.note('a', true, false, early, 0), false)
    assert.equal(access.isRefused('a'), true)
  })
})
