/** Checks that an accepted configuration never reverts. */
import type { CheckResult } from './check-result.js'

/** Revision of a configuration list that a process reported at a time in epoch milliseconds. */
export interface ObservedRevision {
  readonly process: string
  readonly revision: number
  readonly at: number
}

/** Checks that the revisions that each process reports never decrease. The observations are in order of time. */
export function checkRevisions (observations: readonly ObservedRevision[]): CheckResult {
  const violations: string[] = []
  const lastByProcess = new Map<string, number>()
  for (const { process, revision, at } of observations) {
    const previous = lastByProcess.get(process) ?? 0
    if (revision < previous) {
      violations.push(`process ${process} went back from revision ${previous} to ${revision} at ${at} ms`)
    }
    lastByProcess.set(process, revision)
  }
  return { guarantee: 'an accepted configuration never reverts', checked: observations.length, violations }
}
