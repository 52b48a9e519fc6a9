import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { History } from '../harness/history.js'
import { checkResponses, expectedResponseText } from './check-responses.js'
import { checkCharges } from './check-charges.js'
import { checkItems } from './check-items.js'
import { checkRevisions } from './check-revisions.js'
import { checkAtMostOnce, checkNotRun } from './check-at-most-once.js'

const successfulOutcome = { status: 200, run: null, isComplete: true, message: '' }

function chatHistory (text: string, isComplete: boolean): History {
  const history = new History()
  history.end(history.begin({ kind: 'chat', content: 'slot', maximumCompletionTokens: 4 }), { ...successfulOutcome, isComplete, text })
  return history
}

function confirmationHistory (...outcomes: ReadonlyArray<{ readonly status: number, readonly run: string | null }>): History {
  const history = new History()
  for (const outcome of outcomes) {
    history.end(history.begin({ kind: 'confirm', idempotencyKey: 'k' }), { ...successfulOutcome, ...outcome, text: '' })
  }
  return history
}

void describe('checkers', () => {
  void it('find a wrong response, complete or partial', () => {
    const expected = expectedResponseText('slot', 4)
    assert.equal(checkResponses(chatHistory(expected, true)).violations.length, 0)
    assert.equal(checkResponses(chatHistory(expected.slice(0, 3), false)).violations.length, 0)
    assert.equal(checkResponses(chatHistory(expected.slice(0, 3), true)).violations.length, 1)
    assert.equal(checkResponses(chatHistory('another', false)).violations.length, 1)
  })

  void it('find a call that ran twice, and a successful call that never ran', () => {
    const history = confirmationHistory({ status: 200, run: null })
    assert.equal(checkAtMostOnce(history, new Map([['k', 1]])).violations.length, 0)
    assert.equal(checkAtMostOnce(history, new Map([['k', 2]])).violations.length, 1)
    assert.equal(checkAtMostOnce(history, new Map()).violations.length, 1)
  })

  void it('find a call that ran although it was rejected as "not run"', () => {
    const rejected = confirmationHistory({ status: 503, run: 'not-run' })
    assert.equal(checkNotRun(rejected, new Map()).violations.length, 0)
    assert.equal(checkNotRun(rejected, new Map([['k', 1]])).violations.length, 1)
    const retried = confirmationHistory({ status: 503, run: 'not-run' }, { status: 200, run: null })
    assert.equal(checkNotRun(retried, new Map([['k', 1]])).violations.length, 0)
  })

  void it('find items without a result, with two results, and results of unknown items', () => {
    const line = (name: string): string => JSON.stringify({ custom_id: name })
    const check = (...lines: readonly string[]): number => {
      return checkItems([{ job: 'j', items: ['a', 'b'], lines: lines.map(line) }]).violations.length
    }
    assert.equal(check('a', 'b'), 0)
    assert.equal(check('a'), 1)
    assert.equal(check('a', 'b', 'b'), 1)
    assert.equal(check('a', 'b', 'c'), 1)
  })

  void it('find charges that are too low, too high or without a request', () => {
    const served = [{ client: 'c', subject: 's', minimum: 2, maximum: 3 }]
    const check = (requests: number): number => checkCharges([{ client: 'c', subject: 's', requests }], served).violations.length
    assert.deepEqual([1, 2, 3, 4].map(check), [1, 0, 0, 1])
    assert.equal(checkCharges([{ client: 'd', subject: 's', requests: 1 }], []).violations.length, 1)
  })

  void it('find a revision that reverts', () => {
    const at = (revision: number): { readonly process: string, readonly revision: number, readonly at: number } => ({ process: 'p', revision, at: 0 })
    assert.equal(checkRevisions([at(1), at(2), at(2)]).violations.length, 0)
    assert.equal(checkRevisions([at(2), at(1)]).violations.length, 1)
  })
})
