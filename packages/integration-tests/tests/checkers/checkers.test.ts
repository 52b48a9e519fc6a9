import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { History } from '../harness/history.js'
import { checkAnswers, expectedAnswer } from './check-answers.js'
import { checkCharges } from './check-charges.js'
import { checkItems } from './check-items.js'
import { checkRevisions } from './check-revisions.js'
import { checkAtMostOnce, checkNotRun } from './check-single-calls.js'

const seen = { status: 200, run: null, whole: true, message: '' }

function chatHistory (text: string, whole: boolean): History {
  const history = new History()
  history.end(history.begin({ kind: 'chat', content: 'slot', greatestTokens: 4 }), { ...seen, whole, text })
  return history
}

function confirmHistory (...outcomes: ReadonlyArray<{ readonly status: number, readonly run: string | null }>): History {
  const history = new History()
  for (const outcome of outcomes) {
    history.end(history.begin({ kind: 'confirm', idempotencyKey: 'k' }), { ...seen, ...outcome, text: '' })
  }
  return history
}

void describe('checkers', () => {
  void it('find an answer that is crossed, and one that begins wrong', () => {
    const expected = expectedAnswer('slot', 4)
    assert.equal(checkAnswers(chatHistory(expected, true)).broken.length, 0)
    assert.equal(checkAnswers(chatHistory(expected.slice(0, 3), false)).broken.length, 0)
    assert.equal(checkAnswers(chatHistory(expected.slice(0, 3), true)).broken.length, 1)
    assert.equal(checkAnswers(chatHistory('another', false)).broken.length, 1)
  })

  void it('find a call that ran twice, and one that was answered without running', () => {
    const history = confirmHistory({ status: 200, run: null })
    assert.equal(checkAtMostOnce(history, new Map([['k', 1]])).broken.length, 0)
    assert.equal(checkAtMostOnce(history, new Map([['k', 2]])).broken.length, 1)
    assert.equal(checkAtMostOnce(history, new Map()).broken.length, 1)
  })

  void it('find a refusal that says "not run" of a call that ran', () => {
    const refused = confirmHistory({ status: 503, run: 'not-run' })
    assert.equal(checkNotRun(refused, new Map()).broken.length, 0)
    assert.equal(checkNotRun(refused, new Map([['k', 1]])).broken.length, 1)
    const resent = confirmHistory({ status: 503, run: 'not-run' }, { status: 200, run: null })
    assert.equal(checkNotRun(resent, new Map([['k', 1]])).broken.length, 0)
  })

  void it('find items that are lost, doubled or strange', () => {
    const line = (name: string): string => JSON.stringify({ custom_id: name })
    const check = (...lines: readonly string[]): number => {
      return checkItems([{ job: 'j', items: ['a', 'b'], lines: lines.map(line) }]).broken.length
    }
    assert.equal(check('a', 'b'), 0)
    assert.equal(check('a'), 1)
    assert.equal(check('a', 'b', 'b'), 1)
    assert.equal(check('a', 'b', 'c'), 1)
  })

  void it('find charges that are too low, too high or for nothing', () => {
    const received = [{ client: 'c', subject: 's', certainly: 2, atMost: 3 }]
    const check = (requests: number): number => checkCharges([{ client: 'c', subject: 's', requests }], received).broken.length
    assert.deepEqual([1, 2, 3, 4].map(check), [1, 0, 0, 1])
    assert.equal(checkCharges([{ client: 'd', subject: 's', requests: 1 }], []).broken.length, 1)
  })

  void it('find a revision that reverts', () => {
    const at = (revision: number): { readonly process: string, readonly revision: number, readonly at: number } => ({ process: 'p', revision, at: 0 })
    assert.equal(checkRevisions([at(1), at(2), at(2)]).broken.length, 0)
    assert.equal(checkRevisions([at(2), at(1)]).broken.length, 1)
  })
})
