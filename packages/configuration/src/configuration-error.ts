/** Errors found in settings files and lists. */

/** One problem in a settings file or a list, and its location. */
export interface ConfigurationProblem {
  /** Name of the section that contains the problem, or null if it lies outside all sections. */
  readonly section: string | null
  /** Line number, starting at 1, or null if the problem belongs to no line. */
  readonly line: number | null
  readonly message: string
}

/** Rejects a settings file or a list, with every problem found in it. */
export class ConfigurationError extends Error {
  override readonly name = 'ConfigurationError'

  constructor (readonly problems: readonly ConfigurationProblem[]) {
    super(problems.map(describeProblem).join('\n'))
  }
}

/** Formats a problem as one line of text, such as `line 3: [model m] unknown key "x"`. */
export function describeProblem (problem: ConfigurationProblem): string {
  const line = problem.line === null ? '' : `line ${problem.line}: `
  const section = problem.section === null ? '' : `[${problem.section}] `
  return `${line}${section}${problem.message}`
}
