/** Checker: a caller gets the whole answer to its own request. */
import { AnswerText } from '@arbutusloft/stand-ins'
import type { History, HistoryEvent } from '../harness/history.js'
import type { Verdict } from './verdict.js'

/** Checks every chat answer against what the engines give for its prompt. */
export function checkAnswers (history: History): Verdict {
  const broken: string[] = []
  let checked = 0
  for (const event of history.events) {
    if (event.operation.kind === 'chat' && event.outcome !== null) {
      checked += 1
      const fault = faultOf(event)
      if (fault !== null) {
        broken.push(fault)
      }
    }
  }
  return { promise: 'a caller gets the whole answer to its own request', checked, broken }
}

function faultOf (event: HistoryEvent): string | null {
  const { operation, outcome } = event
  if (operation.kind !== 'chat' || outcome === null) {
    return null
  }
  const expected = expectedAnswer(operation.content, operation.greatestTokens)
  if (outcome.whole && outcome.text !== expected) {
    return `"${operation.content}" was answered with "${outcome.text}" in place of "${expected}"`
  }
  if (!outcome.whole && !expected.startsWith(outcome.text)) {
    return `"${operation.content}" began with "${outcome.text}" in place of "${expected}"`
  }
  return null
}

/** The answer that every engine stand-in gives to a chat with one user message. */
export function expectedAnswer (content: string, greatestTokens: number): string {
  const text = new AnswerText(`user: ${content}`)
  const length = Math.min(greatestTokens, text.naturalTokens)
  return Array.from({ length }, (_, index) => text.token(index)).join('')
}
