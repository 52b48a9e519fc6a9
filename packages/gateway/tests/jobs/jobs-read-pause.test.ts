/** Tests the limits of the pause between reads of the jobs topic. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { jobsReadPauseMilliseconds } from '../../src/index.js'

describe('pause between reads of the jobs topic', () => {
  it('limits the reads per second of all processes together', () => {
    for (const processes of [1, 12, 18, 40, 62]) {
      const readsPerSecond = processes * 1_000 / jobsReadPauseMilliseconds(processes)
      assert.ok(readsPerSecond <= 125, `${readsPerSecond} reads a second by ${processes}`)
    }
    // A fleet of 400 processes, the size in the users' original requirements, may make a quarter of 6,000 reads a second.
    assert.ok(400 * 1_000 / jobsReadPauseMilliseconds(400) <= 6_000 / 4)
  })

  it('keeps results fresh in fleets of any size', () => {
    assert.equal(jobsReadPauseMilliseconds(12), 150)
    assert.ok(jobsReadPauseMilliseconds(10_000) < 700)
  })
})
