/** Computation of the edits that turn one version of a list into another. */
import type { SectionEdit } from '@arbutusloft/protocol'
import type { IniSection } from '../ini/ini-document.js'

/** A section in force, with the revision at which it was last changed. */
export interface RevisedSection {
  readonly name: string
  readonly body: string
  readonly revision: number
}

/** Returns the edits that turn the list in force into the desired one; empty if both have the same sections. */
export function diffList (
  current: readonly RevisedSection[],
  desired: ReadonlyArray<Pick<IniSection, 'name' | 'body'>>
): readonly SectionEdit[] {
  const currentByName = new Map(current.map(section => [section.name, section]))
  const desiredNames = new Set(desired.map(section => section.name))
  const edits: SectionEdit[] = []
  for (const section of desired) {
    const currentSection = currentByName.get(section.name)
    if (currentSection?.body !== section.body) {
      edits.push({ section: section.name, base: currentSection?.revision ?? 0, body: section.body })
    }
  }
  for (const section of current) {
    if (!desiredNames.has(section.name)) {
      edits.push({ section: section.name, base: section.revision, body: null })
    }
  }
  return edits
}
