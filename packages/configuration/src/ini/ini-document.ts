/** Parsing of INI texts into sections with line numbers. The `ini` library parses the values. */
import ini from 'ini'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { ConfigurationError } from '../configuration-error.js'
import type { ConfigurationProblem } from '../configuration-error.js'

const { Ok, Err } = tsResults

/** A value as the `ini` library parses it. */
export type IniValue = string | boolean | null

/** One section of an INI text. */
export interface IniSection {
  readonly name: string
  /** Line number of the header, starting at 1. */
  readonly line: number
  /** Lines of the section without its header and without white space at the end of the last line. */
  readonly body: string
  readonly values: Readonly<Record<string, IniValue>>
}

const headerPattern = /^\s*\[(.+)\]\s*$/
const commentPattern = /^\s*[;#]/

interface RawSection {
  readonly name: string
  readonly line: number
  readonly lines: string[]
}

/** Parses a text into its sections in order. Rejects duplicate section names and keys before the first header. */
export function parseIni (text: string): Result<readonly IniSection[], ConfigurationError> {
  const problems: ConfigurationProblem[] = []
  const sections = splitSections(text, problems)
  if (problems.length > 0) {
    return Err(new ConfigurationError(problems))
  }
  return Ok(sections.map(section => parseSection(section.name, section.line, section.lines.join('\n'))))
}

/** Parses the body of one section; `line` is the line number of its header. */
export function parseSection (name: string, line: number, body: string): IniSection {
  const trimmed = body.replace(/\s+$/, '')
  return { name, line, body: trimmed, values: ini.parse(trimmed, { bracketedArray: false }) as IniSection['values'] }
}

/** Renders sections as an INI text. */
export function renderSections (sections: ReadonlyArray<Pick<IniSection, 'name' | 'body'>>): string {
  return sections.map(section => `[${section.name}]\n${section.body}\n`).join('\n')
}

/** Returns the line number of a key in its text, starting at 1, or that of the section's header if the key is missing. */
export function findLineOfKey (section: IniSection, key: string): number {
  const index = section.body.split('\n').findIndex(line => {
    return !commentPattern.test(line) && line.split('=')[0]?.trim() === key
  })
  return section.line + index + 1
}

function splitSections (text: string, problems: ConfigurationProblem[]): readonly RawSection[] {
  const sections: RawSection[] = []
  const names = new Set<string>()
  text.split(/\r?\n/).forEach((content, index) => {
    const line = index + 1
    const name = headerPattern.exec(content)?.[1]?.trim()
    const currentSection = sections[sections.length - 1]
    if (name !== undefined) {
      if (names.has(name)) {
        problems.push({ section: name, line, message: 'the section stands twice' })
      }
      names.add(name)
      sections.push({ name, line, lines: [] })
    } else if (currentSection !== undefined) {
      currentSection.lines.push(content)
    } else if (content.trim() !== '' && !commentPattern.test(content)) {
      problems.push({ section: null, line, message: 'expected a section header such as [name] first' })
    }
  })
  return sections
}
