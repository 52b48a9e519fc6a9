/** Checker: an accepted item completes exactly once, and its result is readable. */
import type { Verdict } from './verdict.js'

/** Results of one job as read back. */
export interface ReadResults {
  readonly job: string
  /** Names of the items that were accepted. */
  readonly items: readonly string[]
  /** Lines of the output and error files. */
  readonly lines: readonly string[]
}

/** Checks that each item has one result, and that there are no others. */
export function checkItems (results: readonly ReadResults[]): Verdict {
  const broken: string[] = []
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
        broken.push(`${job}: item ${name} has ${count} results`)
      }
    }
    const strangers = [...counts.keys()].filter(name => !items.includes(name))
    broken.push(...strangers.map(name => `${job}: result of an item ${name} that was not accepted`))
  }
  return { promise: 'an accepted item completes exactly once and is readable', checked, broken }
}
