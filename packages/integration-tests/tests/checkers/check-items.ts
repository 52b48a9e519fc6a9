/** Checks that each accepted item completes exactly once and that its result can be read. */
import type { CheckResult } from './check-result.js'

/** Results of one batch, which the system also calls a job. */
export interface JobResults {
  /** Id of the batch. */
  readonly job: string
  /** Names (`custom_id`) of the accepted items. */
  readonly items: readonly string[]
  /** Lines of its output and error files. */
  readonly lines: readonly string[]
}

/** Checks that each accepted item has exactly one result and that no other item has one. */
export function checkItems (results: readonly JobResults[]): CheckResult {
  const violations: string[] = []
  let checked = 0
  for (const { job, items, lines } of results) {
    const counts = new Map<string, number>(items.map(item => [item, 0]))
    for (const line of lines) {
      const name = (JSON.parse(line) as { readonly custom_id: string }).custom_id
      counts.set(name, (counts.get(name) ?? 0) + 1)
    }
    checked += items.length
    for (const [name, count] of counts) {
      if (count !== 1) {
        violations.push(`job ${job}: item ${name} has ${count} results, expected 1`)
      }
    }
    const unexpectedItems = [...counts.keys()].filter(name => !items.includes(name))
    violations.push(...unexpectedItems.map(name => `job ${job}: item ${name} has a result, but was not accepted`))
  }
  return { guarantee: 'an accepted item completes exactly once and its result can be read', checked, violations }
}
