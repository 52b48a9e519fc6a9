/** Checker: an accepted configuration never reverts. */
import type { Verdict } from './verdict.js'

/** Revision that a process showed. */
export interface SeenRevision {
  readonly process: string
  readonly revision: number
  readonly at: number
}

/** Checks that the revisions that each process shows only rise. */
export function checkRevisions (seen: readonly SeenRevision[]): Verdict {
  const broken: string[] = []
  const last = new Map<string, number>()
  for (const { process, revision, at } of seen) {
    const before = last.get(process) ?? 0
    if (revision < before) {
      broken.push(`${process} went from revision ${before} to ${revision} at ${at}`)
    }
    last.set(process, revision)
  }
  return { promise: 'an accepted configuration never reverts', checked: seen.length, broken }
}
