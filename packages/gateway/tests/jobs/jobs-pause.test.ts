import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { jobsPauseMilliseconds } from '../../src/index.js'

describe('the pause between reads of the jobs', () => {
  it('keeps the calls of all processes together within their bound', () => {
    for (const processes of [1, 12, 18, 40, 62]) {
      const readsPerSecond = processes * 1_000 / jobsPauseMilliseconds(processes)
      assert.ok(readsPerSecond <= 125, `${readsPerSecond} reads a second by ${processes}`)
    }
    // Size of the users' first letter, with the reads that their larger deployments allow for a second.
    assert.ok(400 * 1_000 / jobsPauseMilliseconds(400) <= 6_000 / 4)
  })

  it('keeps results fresh in a fleet of any size', () => {
    assert.equal(jobsPauseMilliseconds(12), 150)
    assert.ok(jobsPauseMilliseconds(10_000) < 700)
  })
})
