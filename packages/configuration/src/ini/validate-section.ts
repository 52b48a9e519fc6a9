/**
 * Validation of a section's values against a schema. The messages of problems are stored in the audit trail, which
 * processes of different builds must compute alike, so they must not be changed.
 */
import type { z } from 'zod'
import type { ConfigurationProblem } from '../configuration-error.js'
import { findLineOfKey } from './ini-document.js'
import type { IniSection } from './ini-document.js'

/** Returns the validated values. If a value is invalid, adds the problems to `problems` and returns null. */
export function validateSection<T> (
  section: IniSection,
  schema: z.ZodType<T>,
  problems: ConfigurationProblem[]
): T | null {
  const parsed = schema.safeParse(section.values)
  if (parsed.success) {
    return parsed.data
  }
  for (const issue of parsed.error.issues) {
    problems.push(...createProblems(section, issue))
  }
  return null
}

function createProblems (section: IniSection, issue: z.core.$ZodIssue): readonly ConfigurationProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      section: section.name,
      line: findLineOfKey(section, key),
      message: `unknown key "${key}"`
    }))
  }
  const key = String(issue.path[0] ?? '')
  const value = section.values[key]
  const message = value === undefined
    ? `key "${key}" is missing: ${issue.message}`
    : `key "${key}" is "${String(value)}": ${issue.message}`
  return [{ section: section.name, line: findLineOfKey(section, key), message }]
}
