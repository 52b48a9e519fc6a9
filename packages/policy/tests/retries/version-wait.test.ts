/** Tests when an item that waits gives up its events. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RefusalReason, VersionWait, WaitCause } from '../../src/index.js'

const minimumMilliseconds = 2_000

function withdrawn (cause: WaitCause): { readonly reason: RefusalReason, readonly cause: WaitCause, readonly waited: number } {
  return { reason: RefusalReason.Busy, cause, waited: 2_000 }
}

describe('VersionWait', () => {
  it('keeps the events however long the item waits for what beginning anew does not help against', () => {
    const wait = new VersionWait(minimumMilliseconds)
    const causes = Object.values(WaitCause).filter(cause => cause !== WaitCause.VersionTaken && cause !== WaitCause.Unknown)
    for (let round = 0; round < 100; round += 1) {
      for (const cause of causes) {
        assert.equal(wait.record(withdrawn(cause), 0), null, cause)
      }
    }
    assert.equal(wait.milliseconds, 0)
  })

  it('gives the events up once their version was taken for as long as the item has run, while other versions were free', () => {
    const wait = new VersionWait(minimumMilliseconds)
    const results = [WaitCause.VersionTaken, WaitCause.HeldBack, WaitCause.VersionTaken, WaitCause.Full, WaitCause.VersionTaken].map(cause => wait.record(withdrawn(cause), 5_000))
    assert.deepEqual(results, [null, null, null, null, WaitCause.VersionTaken])
    assert.equal(wait.milliseconds, 6_000)
  })

  it('gives the events up after the same time if the owner, of a build of before, tells no cause', () => {
    const wait = new VersionWait(minimumMilliseconds)
    const results = [1, 2, 3].map(() => wait.record(withdrawn(WaitCause.Unknown), 5_000))
    assert.deepEqual(results, [null, null, WaitCause.Unknown])
  })

  it('waits for a version that is taken for the least time at least, and anew after each slot', () => {
    const wait = new VersionWait(minimumMilliseconds)
    const short = { ...withdrawn(WaitCause.VersionTaken), waited: 1_000 }
    assert.equal(wait.record(short, 0), null)
    wait.reset()
    assert.equal(wait.record(short, 0), null)
    assert.equal(wait.record(short, 0), WaitCause.VersionTaken)
  })

  it('gives the events up at once if no target can go on with them', () => {
    for (const reason of Object.values(RefusalReason)) {
      const expected = reason === RefusalReason.VersionGone || reason === RefusalReason.VersionUnknown ? reason : null
      assert.equal(new VersionWait(minimumMilliseconds).record({ reason, cause: null, waited: 0 }, 60_000), expected, reason)
    }
  })
})
