/** Tests whether and for how long the rest of a stream is asked for whose end nobody knows. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { questionAfterEnd } from '../../src/index.js'

/** Time without an event after which clients leave a stream with a short objective. */
const clientGapMilliseconds = 2_000

describe('questionAfterEnd', () => {
  it('asks once after each event, and only if events have ids', () => {
    const times = { objectiveMilliseconds: 300, remainingMilliseconds: 4_000 }
    assert.deepEqual([0, 1, 2, 3].map(unknownEnds => questionAfterEnd({ ...times, unknownEnds }) !== null), [false, true, false, false])
  })

  it('ends in the objective, long before the client leaves, and before the deadline', () => {
    for (const objectiveMilliseconds of [10, 300, 1_000, 60_000]) {
      for (const remainingMilliseconds of [60, 400, 5_000]) {
        const question = questionAfterEnd({ unknownEnds: 1, objectiveMilliseconds, remainingMilliseconds }) ?? assert.fail()
        assert.ok(question.limit > 0 && question.limit <= objectiveMilliseconds && question.limit < remainingMilliseconds && question.limit <= clientGapMilliseconds / 4)
        assert.ok(question.patience > 0 && question.patience <= question.limit)
      }
    }
  })

  it('does not ask shortly before the deadline or after it', () => {
    for (const remainingMilliseconds of [-10, 0, 50]) {
      assert.equal(questionAfterEnd({ unknownEnds: 1, objectiveMilliseconds: 300, remainingMilliseconds }), null)
    }
  })
})
