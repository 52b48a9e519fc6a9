/** Tests how long a target may be silent before a request goes on at another one. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { silenceLimits } from '../../src/index.js'

/** Time without an event after which clients leave a stream with a short objective. */
const clientGapMilliseconds = 2_000
/** Time for which a request waits for a slot, with an objective of 300 ms. */
const slotWaitMilliseconds = 225
const firstEventMilliseconds = 100
/** A sound target may be silent for a second; events take a while to arrive. */
const soundSilenceMilliseconds = 1_000
/** Time after which a target that was left must not work on the request any more. */
const stopMilliseconds = 400

describe('silenceLimits', () => {
  it('never leaves a sound target that is silent for a second, if the deadline is some seconds away', () => {
    for (const objectiveMilliseconds of [100, 300, 1_000, 5_000]) {
      for (const waitedMilliseconds of [0, 100, 225, 1_000, 3_000]) {
        const { first, next } = silenceLimits({ objectiveMilliseconds, waitedMilliseconds, remainingMilliseconds: 2_000 })
        assert.ok(first > soundSilenceMilliseconds && next > soundSilenceMilliseconds, `${objectiveMilliseconds}, ${waitedMilliseconds}: ${first}, ${next}`)
      }
    }
  })

  it('leaves a target that is silent for 1.5 s so late that it has gone on before it must have stopped', () => {
    const { first, next } = silenceLimits({ objectiveMilliseconds: 300, waitedMilliseconds: slotWaitMilliseconds, remainingMilliseconds: 5_000 })
    assert.ok(first + stopMilliseconds >= 1_500 && next + stopMilliseconds >= 1_500)
  })

  it('leaves a target that hangs before a client leaves, with time for a slot and an event at another', () => {
    for (const waitedMilliseconds of [0, 100, slotWaitMilliseconds]) {
      const { first, next } = silenceLimits({ objectiveMilliseconds: 300, waitedMilliseconds, remainingMilliseconds: 5_000 })
      assert.ok(waitedMilliseconds + first + slotWaitMilliseconds + firstEventMilliseconds < clientGapMilliseconds)
      assert.ok(next + slotWaitMilliseconds + firstEventMilliseconds < clientGapMilliseconds)
    }
  })

  it('gives an answer with a long objective half of that to begin', () => {
    assert.equal(silenceLimits({ objectiveMilliseconds: 6_000, waitedMilliseconds: 500, remainingMilliseconds: 20_000 }).first, 2_500)
  })

  it('leaves time for another target before a deadline that is near', () => {
    assert.deepEqual(silenceLimits({ objectiveMilliseconds: 300, waitedMilliseconds: 0, remainingMilliseconds: 500 }), { first: 350, next: 350, incomplete: 350 })
  })
})
