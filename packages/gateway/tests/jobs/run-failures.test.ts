/** Tests when an item whose run has failed is started again, and with which progress. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ItemProgress } from '../../src/index.js'
import { RunFailures } from '../../src/jobs/run-failures.js'

const job = { id: 'j' }

function progressAt (lastId: number): ItemProgress {
  return { lastId, origin: { service: 's', softwareVersion: 'v1' }, text: 'a' }
}

describe('RunFailures', () => {
  it('doubles the delay with each failure up to its bound', () => {
    const failures = new RunFailures()
    const delays = Array.from({ length: 8 }, () => failures.record(job, 0, null, 1_000).retryAt - 1_000)
    assert.deepEqual(delays, [200, 400, 800, 1_600, 3_200, 5_000, 5_000, 5_000])
  })

  it('does not go on from progress with which two runs in a row have failed', () => {
    const failures = new RunFailures()
    assert.equal(failures.record(job, 0, progressAt(3), 0).progress?.lastId, 3)
    assert.equal(failures.record(job, 0, progressAt(4), 0).progress?.lastId, 4)
    assert.equal(failures.record(job, 0, progressAt(4), 0).progress, null)
  })

  it('keeps the failures of items apart', () => {
    const failures = new RunFailures()
    failures.record(job, 0, null, 0)
    assert.equal(failures.get(job, 1), undefined)
    failures.record(job, 1, null, 0)
    failures.delete(job, 0)
    assert.deepEqual([...failures.all()].map(({ index }) => index), [1])
  })
})
