/** Checks that non-idempotent requests run at most once, and that requests rejected as not run did not run. */
import type { History, HistoryEvent } from '../harness/history.js'
import type { CheckResult } from './check-result.js'

const statusOk = 200

/** Checks that no idempotency key was executed more than once, and that each key with a successful response was executed. */
export function checkAtMostOnce (history: History, executions: ReadonlyMap<string, number>): CheckResult {
  const violations: string[] = []
  const keys = keysOf(history)
  for (const key of keys) {
    const count = executions.get(key) ?? 0
    if (count > 1) {
      violations.push(`key ${key} was executed ${count} times, expected at most 1`)
    }
    if (count === 0 && succeeded(history, key)) {
      violations.push(`key ${key} got a successful response, but was not executed`)
    }
  }
  return { guarantee: 'a non-idempotent request runs at most once', checked: keys.length, violations }
}

/** Checks that no idempotency key was executed for which every response was a rejection that says "not run". */
export function checkNotRun (history: History, executions: ReadonlyMap<string, number>): CheckResult {
  const violations: string[] = []
  let checked = 0
  for (const key of keysOf(history)) {
    const events = eventsOf(history, key)
    if (events.some(event => event.outcome?.run === 'not-run')) {
      checked += 1
      const onlyRejections = events.every(event => event.outcome?.run === 'not-run')
      if (onlyRejections && (executions.get(key) ?? 0) > 0) {
        violations.push(`key ${key} was rejected as not run, but was executed`)
      }
    }
  }
  return { guarantee: 'a request rejected as "not run" did not run', checked, violations }
}

function keysOf (history: History): readonly string[] {
  const keys = history.events.map(event => event.operation.kind === 'confirm' ? event.operation.idempotencyKey : null)
  return [...new Set(keys.filter(key => key !== null))]
}

function eventsOf (history: History, key: string): readonly HistoryEvent[] {
  return history.events.filter(event => event.operation.kind === 'confirm' && event.operation.idempotencyKey === key)
}

function succeeded (history: History, key: string): boolean {
  return eventsOf(history, key).some(event => event.outcome?.status === statusOk)
}
