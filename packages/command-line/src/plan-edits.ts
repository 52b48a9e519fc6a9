/** Planning of edits from an operator's file. */
import { diffList } from '@arbutusloft/configuration'
import type { IniSection, RevisedSection } from '@arbutusloft/configuration'
import type { SectionEdit } from '@arbutusloft/protocol'

/** What publishing a file would do. */
export interface EditPlan {
  readonly edits: readonly SectionEdit[]
  /** Sections that the file changes and that somebody else has changed since the file was got. */
  readonly conflicts: readonly string[]
}

const revisionPattern = /^; revision: (\d+)$/m

/** First line of a file that `get` writes. */
export function revisionLine (revision: number): string {
  return `; revision: ${revision}\n`
}

/** Revision at which a file was got, or null if it does not say. */
export function revisionOf (text: string): number | null {
  const revision = revisionPattern.exec(text)?.[1]
  return revision === undefined ? null : Number(revision)
}

/**
 * The edits that turn the list in force into the file's. Sections that are newer than the
 * file are left alone, unless the file says something else of them: those are conflicts.
 */
export function planEdits (
  present: readonly RevisedSection[],
  wanted: readonly IniSection[],
  gotAt: number | null
): EditPlan {
  const newer = new Set(present.filter(section => gotAt !== null && section.revision > gotAt).map(section => section.name))
  const added = (edit: SectionEdit): boolean => edit.body === null && newer.has(edit.section)
  const edits = diffList(present, wanted).filter(edit => !added(edit))
  const conflicts = edits.filter(edit => newer.has(edit.section)).map(edit => edit.section)
  return { edits, conflicts }
}
