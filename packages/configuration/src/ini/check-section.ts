/** Validation of a section's values against a schema. */
import type { z } from 'zod'
import type { ConfigurationProblem } from '../configuration-error.js'
import { lineOfKey } from './ini-document.js'
import type { IniSection } from './ini-document.js'

/** Returns the validated values. If a value is invalid, adds the problems to `problems` and returns null. */
export function checkSection<T> (
  section: IniSection,
  schema: z.ZodType<T>,
  problems: ConfigurationProblem[]
): T | null {
  const checked = schema.safeParse(section.values)
  if (checked.success) {
    return checked.data
  }
  for (const issue of checked.error.issues) {
    problems.push(...problemsOf(section, issue))
  }
  return null
}

function problemsOf (section: IniSection, issue: z.core.$ZodIssue): readonly ConfigurationProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      section: section.name,
      line: lineOfKey(section, key),
      message: `unknown key "${key}"`
    }))
  }
  const key = String(issue.path[0] ?? '')
  const given = section.values[key]
  const message = given === undefined
    ? `key "${key}" is missing: ${issue.message}`
    : `key "${key}" is "${String(given)}": ${issue.message}`
  return [{ section: section.name, line: lineOfKey(section, key), message }]
}
