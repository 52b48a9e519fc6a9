/** Tests which outcome an owner is told of two calls on one slot. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SlotOutcome } from '@arbutusloft/policy'
import { slotForSecondCall } from '../../src/permits/shared-slot.js'
import type { Slot } from '../../src/permits/slot.js'
import { sleep } from '../../src/util/sleep.js'

function heldSlot (released: SlotOutcome[]): Slot {
  const target = { id: 't', address: '1:1', born: 1, softwareVersion: 'v1' }
  return { permit: 'p', target, revoked: new AbortController().signal, markLeaving: () => {}, recordRateLimit: () => {}, markSound: () => {}, release: outcome => { released.push(outcome) } }
}

function reported (...outcomes: readonly SlotOutcome[]): readonly SlotOutcome[] {
  const released: SlotOutcome[] = []
  const slot = outcomes.slice(0, -1).reduce(slotForSecondCall, heldSlot(released))
  slot.release(outcomes.at(-1) ?? assert.fail())
  return released
}

describe('slotForSecondCall', () => {
  it('reports a finished answer, however the other call has ended', () => {
    for (const other of [SlotOutcome.Finished, SlotOutcome.Unsuccessful, SlotOutcome.Stopped, SlotOutcome.NotRun, SlotOutcome.Broken, SlotOutcome.Crashed, SlotOutcome.Failed, SlotOutcome.Full]) {
      assert.deepEqual(reported(SlotOutcome.Finished, other), [SlotOutcome.Finished], other)
    }
    assert.deepEqual(reported(SlotOutcome.Unsuccessful, SlotOutcome.Finished), [SlotOutcome.Finished])
  })

  it('reports a target that is no longer there', () => {
    for (const first of [SlotOutcome.Finished, SlotOutcome.Unsuccessful]) {
      for (const absence of [SlotOutcome.Unreachable, SlotOutcome.Replaced]) {
        assert.deepEqual(reported(first, absence), [absence])
      }
    }
  })

  it('reports a crash if no answer was finished', () => {
    assert.deepEqual(reported(SlotOutcome.Unsuccessful, SlotOutcome.Crashed), [SlotOutcome.Crashed])
    assert.deepEqual(reported(SlotOutcome.Unsuccessful, SlotOutcome.Stopped), [SlotOutcome.Unsuccessful])
    assert.deepEqual(reported(SlotOutcome.Unsuccessful, SlotOutcome.NotRun), [SlotOutcome.Unsuccessful])
    assert.deepEqual(reported(SlotOutcome.Unsuccessful, SlotOutcome.Full), [SlotOutcome.Unsuccessful])
  })

  it('does not report a finished answer late, when the target may have crashed since', async () => {
    const outcomes = [SlotOutcome.Stopped, SlotOutcome.NotRun, SlotOutcome.Crashed, SlotOutcome.Broken]
    const slots = outcomes.map(second => {
      const released: SlotOutcome[] = []
      return { second, released, slot: slotForSecondCall(heldSlot(released), SlotOutcome.Finished) }
    })
    await sleep(250)
    slots.forEach(({ slot, second }) => { slot.release(second) })
    assert.deepEqual(slots.flatMap(({ released }) => released), [SlotOutcome.Stopped, SlotOutcome.Stopped, SlotOutcome.Crashed, SlotOutcome.Broken])
  })

  it('reports one outcome of more than two calls', () => {
    assert.deepEqual(reported(SlotOutcome.Finished, SlotOutcome.Finished, SlotOutcome.Crashed), [SlotOutcome.Finished])
  })
})
