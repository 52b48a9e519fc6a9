/** Checkers: at most once for what may not be repeated, and true refusals. */
import type { History, HistoryEvent } from '../harness/history.js'
import type { Verdict } from './verdict.js'

const statusOk = 200

/** Checks that no key was executed more than once, and that each answered one was executed. */
export function checkAtMostOnce (history: History, executions: ReadonlyMap<string, number>): Verdict {
  const broken: string[] = []
  const keys = keysOf(history)
  for (const key of keys) {
    const count = executions.get(key) ?? 0
    if (count > 1) {
      broken.push(`${key} was executed ${count} times`)
    }
    if (count === 0 && answered(history, key)) {
      broken.push(`${key} was answered and never executed`)
    }
  }
  return { promise: 'a request that may not be repeated runs at most once', checked: keys.length, broken }
}

/**
 * Checks refusals that say "not run": a key whose last word is such a refusal, or that
 * never heard anything else, must not have been executed.
 */
export function checkNotRun (history: History, executions: ReadonlyMap<string, number>): Verdict {
  const broken: string[] = []
  let checked = 0
  for (const key of keysOf(history)) {
    const events = eventsOf(history, key)
    if (events.some(event => event.outcome?.run === 'not-run')) {
      checked += 1
      const onlyRefusals = events.every(event => event.outcome?.run === 'not-run')
      if (onlyRefusals && (executions.get(key) ?? 0) > 0) {
        broken.push(`${key} was refused as not run, and was executed`)
      }
    }
  }
  return { promise: 'a refusal that says "not run" is true', checked, broken }
}

function keysOf (history: History): readonly string[] {
  const keys = history.events.map(event => event.operation.kind === 'confirm' ? event.operation.idempotencyKey : null)
  return [...new Set(keys.filter(key => key !== null))]
}

function eventsOf (history: History, key: string): readonly HistoryEvent[] {
  return history.events.filter(event => event.operation.kind === 'confirm' && event.operation.idempotencyKey === key)
}

function answered (history: History, key: string): boolean {
  return eventsOf(history, key).some(event => event.outcome?.status === statusOk)
}
