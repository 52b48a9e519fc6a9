/** Tests what is remembered of targets that leave. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LeavingTargets } from '../../src/index.js'

describe('LeavingTargets', () => {
  it('tells a target that started again under its id from the one that left', () => {
    const leaving = new LeavingTargets()
    assert.equal(leaving.add('one', 1_000), true)
    assert.equal(leaving.add('one', 1_000), false)
    assert.deepEqual([leaving.has('one', 1_000), leaving.has('one', 900), leaving.has('one', 1_001), leaving.has('two', 1_000)], [true, true, false, false])
    assert.equal(leaving.add('one', 1_001), true)
    assert.equal(leaving.has('one', 1_001), true)
  })

  it('does not forget a later start for an earlier one', () => {
    const leaving = new LeavingTargets()
    leaving.add('one', 2_000)
    assert.equal(leaving.add('one', 1_000), false)
    assert.equal(leaving.has('one', 2_000), true)
  })

  it('remembers the thousand targets that it heard of last', () => {
    const leaving = new LeavingTargets()
    for (let number = 0; number <= 1_000; number += 1) {
      leaving.add(`target-${number}`, 1)
    }
    assert.deepEqual([leaving.has('target-0', 1), leaving.has('target-1', 1), leaving.has('target-1000', 1)], [false, true, true])
  })
})
