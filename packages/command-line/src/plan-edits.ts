/** Computation of the edits that publish an operator's file. */
import { diffList } from '@arbutusloft/configuration'
import type { IniSection, RevisedSection } from '@arbutusloft/configuration'
import type { SectionEdit } from '@arbutusloft/protocol'

/** Edits that turn the list in force into the list of a file, and the conflicts that prevent publishing it. */
export interface EditPlan {
  /** All edits, including those of conflicting sections; they may be published only if `conflicts` is empty. */
  readonly edits: readonly SectionEdit[]
  /** Names of sections that the file changes and that somebody else has changed since `get` wrote the file. */
  readonly conflicts: readonly string[]
}

const revisionPattern = /^; revision: (\d+)$/m

/** Renders the first line that `get` writes, a comment with the revision of the list. */
export function renderRevisionLine (revision: number): string {
  return `; revision: ${revision}\n`
}

/** Returns the revision that `get` wrote to a file, or null if there is none. */
export function parseRevision (text: string): number | null {
  const revision = revisionPattern.exec(text)?.[1]
  return revision === undefined ? null : Number(revision)
}

/**
 * Returns the edits that turn the list in force into the list of the file.
 *
 * A section with a newer revision than the file was added or changed after `get` wrote the file. If the file omits it,
 * it is kept without a conflict, since it may have been added later; if the file has a different version, it is
 * a conflict. If `fileRevision` is null, no section counts as newer: there are no conflicts, and every section that
 * the file omits is removed.
 */
export function planEdits (
  current: readonly RevisedSection[],
  desired: readonly IniSection[],
  fileRevision: number | null
): EditPlan {
  const newerSectionNames = new Set(current.filter(section => fileRevision !== null && section.revision > fileRevision).map(section => section.name))
  const removesNewerSection = (edit: SectionEdit): boolean => edit.body === null && newerSectionNames.has(edit.section)
  const edits = diffList(current, desired).filter(edit => !removesNewerSection(edit))
  const conflicts = edits.filter(edit => newerSectionNames.has(edit.section)).map(edit => edit.section)
  return { edits, conflicts }
}
