/** Guards against bodies that exhaust the memory of a process, and against budgets that refuse small requests or single large ones. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { budgetOf, ByteBudget, HeldKind, RoomDecision, silentMilliseconds, smallBytes } from '../../src/index.js'
import type { Holding } from '../../src/index.js'

const bodyLimit = 4_194_304
const step = 131_072
const total = budgetOf(178_000_000)

/** Grows a body to a length in steps, as it arrives; evicted bodies are closed. Returns the last decision. */
function fill (budget: ByteBudget, holding: Holding, length: number, now: number, evicted: Holding[] = []): RoomDecision {
  while (holding.bytes < length) {
    const answer = budget.grow(holding, Math.min(step, length - holding.bytes), now)
    if (answer.decision === RoomDecision.Evict) {
      evicted.push(answer.victim)
      budget.close(answer.victim)
    } else if (answer.decision !== RoomDecision.Granted) {
      return answer.decision
    }
  }
  return RoomDecision.Granted
}

describe('the budget for bytes that a process holds', () => {
  it('stays within its total while 200 bodies of the limit stop short of their end, in two waves, and then finds room for small requests and one large one', () => {
    const budget = new ByteBudget(total)
    for (let wave = 0; wave < 2; wave += 1) {
      const bodies = Array.from({ length: 200 }, () => budget.open(HeldKind.Unfinished, 0))
      for (let length = step; length < bodyLimit; length += step) {
        for (const body of bodies.filter(({ bytes }) => bytes >= length - step)) {
          if (fill(budget, body, length, 0) !== RoomDecision.Granted) {
            budget.close(body)
          }
          assert.ok(budget.held <= total)
        }
      }
      for (let number = 0; number < 50; number += 1) {
        assert.equal(fill(budget, budget.open(HeldKind.Unfinished, 0), smallBytes, 0), RoomDecision.Granted)
      }
      bodies.forEach(body => { budget.close(body) })
    }
  })

  it('grants a single body of the limit, and its decoding as a job, on the smallest instance', () => {
    const budget = new ByteBudget(total)
    const body = budget.open(HeldKind.Unfinished, 0)
    assert.equal(fill(budget, body, bodyLimit, 0), RoomDecision.Granted)
    budget.change(body, HeldKind.Job)
    assert.equal(budget.grow(body, 3 * bodyLimit, 0).decision, RoomDecision.Granted)
    budget.close(body)
    assert.equal(budget.held, 0)
  })

  it('keeps small requests that run when large bodies take all the room that they may', () => {
    const budget = new ByteBudget(total)
    const small = Array.from({ length: 60 }, () => budget.open(HeldKind.Request, 0))
    small.forEach(holding => { assert.equal(budget.grow(holding, smallBytes, 0).decision, RoomDecision.Granted) })
    for (let number = 0; number < 200; number += 1) {
      fill(budget, budget.open(HeldKind.Unfinished, 0), bodyLimit, 0)
    }
    assert.equal(budget.heldBy(HeldKind.Request), 60 * smallBytes)
    assert.equal(budget.grow(budget.open(HeldKind.Unfinished, 0), 1_500, 0).decision, RoomDecision.Granted)
  })

  it('drops a body that was silent for half of its time before others, and the largest of the others', () => {
    const budget = new ByteBudget(total)
    const silent = budget.open(HeldKind.Unfinished, 0)
    fill(budget, silent, step, 0)
    const large = budget.open(HeldKind.Unfinished, silentMilliseconds)
    fill(budget, large, bodyLimit, silentMilliseconds)
    const evicted: Holding[] = []
    for (let number = 0; evicted.length < 2; number += 1) {
      fill(budget, budget.open(HeldKind.Unfinished, silentMilliseconds), bodyLimit - step, silentMilliseconds, evicted)
      assert.ok(number < 20)
    }
    assert.deepEqual([evicted[0] === silent, evicted[1] === large], [true, true])
  })

  it('lets a body wait while bodies that run hold the room, and refuses it while only unfinished ones do', () => {
    const budget = new ByteBudget(total)
    const running: Holding[] = []
    for (;;) {
      const holding = budget.open(HeldKind.Request, 0)
      if (budget.grow(holding, bodyLimit, 0).decision !== RoomDecision.Granted) {
        break
      }
      running.push(holding)
    }
    const waiting = budget.open(HeldKind.Unfinished, 0)
    assert.equal(fill(budget, waiting, bodyLimit, 0), RoomDecision.Wait)
    running.forEach(holding => { budget.close(holding) })
    assert.equal(fill(budget, waiting, bodyLimit, 0), RoomDecision.Granted)
    // The largest body itself is the one to refuse.
    const unfinished = new ByteBudget(total)
    assert.equal(fill(unfinished, unfinished.open(HeldKind.Unfinished, 0), total, 0), RoomDecision.Refused)
  })

  it('has between 24 and 64 MB', () => {
    assert.deepEqual([100_000_000, 178_000_000, 250_000_000, 602_000_000].map(budgetOf), [24_000_000, 24_180_000, 46_500_000, 64_000_000])
  })
})
