/** Tests how long an answer has to go well until it shows that its target does not crash under the request. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { AnswerProgress } from '../../src/targets/answer-progress.js'

/** Plays an answer that brings data at these times, in milliseconds; returns how often it was found to be sound. */
function play (context: TestContext, times: readonly number[], status: number | null = 200): number {
  context.mock.timers.enable({ apis: ['Date'] })
  let calls = 0
  const progress = new AnswerProgress(() => { calls += 1 })
  let now = 0
  for (const time of times) {
    context.mock.timers.tick(time - now)
    now = time
    progress.onData(status)
  }
  context.mock.timers.tick(5_000)
  assert.equal(progress.isSound, calls > 0)
  context.mock.timers.reset()
  return calls
}

describe('AnswerProgress', () => {
  it('finds an answer sound once, when it has brought data for 300 ms', context => {
    assert.equal(play(context, [50, 200, 349]), 0)
    assert.equal(play(context, [50, 200, 350, 900]), 1)
  })

  it('does not find silence, failures and answers without a status sound', context => {
    assert.equal(play(context, [50]), 0)
    assert.equal(play(context, [50, 400], 500), 0)
    assert.equal(play(context, [50, 400], null), 0)
  })
})
