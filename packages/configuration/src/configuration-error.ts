/** Errors in settings and lists. */

/** One thing that is wrong, and where. */
export interface ConfigurationProblem {
  /** Section that holds the problem, or null outside of sections. */
  readonly section: string | null
  /** Line from 1, or null if it lies in no text. */
  readonly line: number | null
  readonly message: string
}

/** A text that was refused, with everything that is wrong with it. */
export class ConfigurationError extends Error {
  override readonly name = 'ConfigurationError'

  constructor (readonly problems: readonly ConfigurationProblem[]) {
    super(problems.map(describeProblem).join('\n'))
  }
}

/** A problem as one line of text. */
export function describeProblem (problem: ConfigurationProblem): string {
  const line = problem.line === null ? '' : `line ${problem.line}: `
  const section = problem.section === null ? '' : `[${problem.section}] `
  return `${line}${section}${problem.message}`
}
