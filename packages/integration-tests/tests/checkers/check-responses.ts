/** Checks that each caller receives the complete response to its own request. */
import { AnswerText } from '@arbutusloft/stand-ins'
import type { History, HistoryEvent } from '../harness/history.js'
import type { CheckResult } from './check-result.js'

/** Compares every chat response with the text that the engine stand-ins generate for its prompt. */
export function checkResponses (history: History): CheckResult {
  const violations: string[] = []
  let checked = 0
  for (const event of history.events) {
    if (event.operation.kind === 'chat' && event.outcome !== null) {
      checked += 1
      const violation = findViolation(event)
      if (violation !== null) {
        violations.push(violation)
      }
    }
  }
  return { guarantee: 'a caller receives the complete response to its own request', checked, violations }
}

function findViolation (event: HistoryEvent): string | null {
  const { operation, outcome } = event
  if (operation.kind !== 'chat' || outcome === null) {
    return null
  }
  const expected = expectedResponseText(operation.content, operation.maximumCompletionTokens)
  if (outcome.isComplete && outcome.text !== expected) {
    return `the response to "${operation.content}" is "${outcome.text}", expected "${expected}"`
  }
  if (!outcome.isComplete && !expected.startsWith(outcome.text)) {
    return `the partial response to "${operation.content}" is "${outcome.text}", expected a prefix of "${expected}"`
  }
  return null
}

/** Returns the text that every engine stand-in generates for a chat with one user message. */
export function expectedResponseText (content: string, maximumCompletionTokens: number): string {
  const text = new AnswerText(`user: ${content}`)
  const length = Math.min(maximumCompletionTokens, text.defaultTokens)
  return Array.from({ length }, (_, index) => text.token(index)).join('')
}
