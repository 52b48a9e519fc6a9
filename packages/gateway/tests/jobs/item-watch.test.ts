/** Tests which items lack a run, and which runs are needed no more. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { isRunSuperfluous, itemsWithoutRun } from '../../src/jobs/item-watch.js'
import type { Job } from '../../src/index.js'
import { submissionOf } from '../util/runner-harness.js'

function jobOf (id: string, finished: readonly number[] = [], ended = false): Job {
  return { ...submissionOf(id, 3), acceptedAt: 0, acceptedBy: 'a', bodyParts: 1, results: [], finished: new Set(finished), ended }
}

function foldOf (job: Job | undefined, isUnreadable = false): Parameters<typeof isRunSuperfluous>[0] {
  return { get: () => job, isUnreadable: () => isUnreadable }
}

describe('itemsWithoutRun', () => {
  it('returns the unfinished items without a run', () => {
    const missing = itemsWithoutRun([jobOf('j', [0]), jobOf('k')], (job, index) => job.id === 'k' && index < 2)
    assert.deepEqual(missing.map(({ job, index }) => [job.id, index]), [['j', 1], ['j', 2], ['k', 2]])
  })

  it('returns no item of a job that has ended or is finished', () => {
    assert.deepEqual(itemsWithoutRun([jobOf('j', [], true), jobOf('k', [0, 1, 2])], () => false), [])
  })
})

describe('isRunSuperfluous', () => {
  it('keeps the run of an unfinished item', () => {
    assert.equal(isRunSuperfluous(foldOf(jobOf('j', [0])), 'j', 1), false)
  })

  it('finds the runs of items that are finished, and of jobs that have ended or were deleted', () => {
    assert.equal(isRunSuperfluous(foldOf(jobOf('j', [0])), 'j', 0), true)
    assert.equal(isRunSuperfluous(foldOf(jobOf('j', [], true)), 'j', 1), true)
    assert.equal(isRunSuperfluous(foldOf(undefined), 'j', 1), true)
  })

  it('keeps the run of an item whose job has a record that cannot be read', () => {
    assert.equal(isRunSuperfluous(foldOf(undefined, true), 'j', 1), false)
  })
})
