/** Fold of the configuration stream into the lists in force and the audit trail. */
import { ListName, RecordType } from '@arbutusloft/protocol'
import type { ConfigurationEdited, LogRecord } from '@arbutusloft/protocol'
import type { Fold, RecordContext } from '@arbutusloft/state'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { parseSection } from '../ini/ini-document.js'
import type { Configuration } from '../lists/configuration.js'
import { emptyConfiguration } from '../lists/configuration.js'
import type { RevisedSection } from '../lists/diff-list.js'
import { buildConfiguration } from '../lists/parse-lists.js'
import type { AuditEntry } from './audit-entry.js'

const { Ok, Err } = tsResults

/** Limits the audit entries in memory; older edits can be read from the log until its retention deletes them. */
const maximumAuditEntries = 1_000

type SectionsByName = ReadonlyMap<string, RevisedSection>
type Lists = Readonly<Record<ListName, SectionsByName>>

interface SerializedConfiguration {
  readonly revision: number
  readonly plans: readonly RevisedSection[]
  readonly usage: readonly RevisedSection[]
  readonly audit: readonly AuditEntry[]
}

/**
 * Computes the configuration in force. The position of a record is its offset in the log. An accepted edit gets the
 * position of its record plus 1 as its revision, so revisions only increase. The reasons of rejected edits are stored in
 * snapshots, so processes of different builds must compute them alike.
 */
export class ConfigurationFold implements Fold {
  #lists: Lists = { [ListName.Plans]: new Map(), [ListName.Usage]: new Map() }
  #configuration = emptyConfiguration
  #revision = 0
  #audit: AuditEntry[] = []

  /** Revision that the last accepted edit created, or 0 if there was none. */
  get revision (): number {
    return this.#revision
  }

  get configuration (): Configuration {
    return this.#configuration
  }

  /** The audit trail, oldest first. */
  get audit (): readonly AuditEntry[] {
    return this.#audit
  }

  /** Returns the sections of a list in force, each with the revision at which it was last changed. */
  sections (list: ListName): readonly RevisedSection[] {
    return [...this.#lists[list].values()]
  }

  /** Returns the audit entry of an edit, or null if the edit has not been applied or is no longer in the audit trail. */
  findAuditEntry (edit: string): AuditEntry | null {
    return this.#audit.find(entry => entry.edit === edit) ?? null
  }

  apply (record: LogRecord, context: RecordContext): void {
    if (record.type !== RecordType.ConfigurationEdited) {
      return
    }
    // Revision 0 means "no revision", and the first record has position 0.
    const revision = context.position + 1
    const result = this.#applyEdit(record, revision)
    this.#appendAuditEntry(record, context, revision, result.err ? result.val : null)
    if (result.ok) {
      this.#lists = result.val.lists
      this.#configuration = result.val.configuration
      this.#revision = revision
    }
  }

  prune (): void {
    // Nothing expires by time: the lists in force are kept, and the audit trail is limited by number of entries.
  }

  serialize (): unknown {
    const serialized: SerializedConfiguration = {
      revision: this.#revision,
      plans: this.sections(ListName.Plans),
      usage: this.sections(ListName.Usage),
      audit: this.#audit
    }
    return serialized
  }

  restore (state: unknown): void {
    const serialized = state as SerializedConfiguration
    this.#lists = {
      [ListName.Plans]: indexByName(serialized.plans),
      [ListName.Usage]: indexByName(serialized.usage)
    }
    this.#configuration = parseConfiguration(this.#lists).unwrap()
    this.#revision = serialized.revision
    this.#audit = [...serialized.audit]
  }

  #applyEdit (
    record: ConfigurationEdited,
    revision: number
  ): Result<{ readonly lists: Lists, readonly configuration: Configuration }, string> {
    const sections = new Map(this.#lists[record.list])
    for (const edit of record.sections) {
      // Revision 0 means that the section does not exist.
      const currentRevision = sections.get(edit.section)?.revision ?? 0
      if (currentRevision !== edit.base) {
        return Err(`[${edit.section}] is at revision ${currentRevision}, not at ${edit.base}: get the list again and redo the edit`)
      }
      if (edit.body === null) {
        sections.delete(edit.section)
      } else {
        sections.set(edit.section, { name: edit.section, body: edit.body, revision })
      }
    }
    const lists: Lists = { ...this.#lists, [record.list]: sections }
    const configuration = parseConfiguration(lists)
    if (configuration.err) {
      return configuration
    }
    return Ok({ lists, configuration: configuration.val })
  }

  #appendAuditEntry (record: ConfigurationEdited, context: RecordContext, revision: number, refusal: string | null): void {
    const entry: AuditEntry = {
      edit: record.edit,
      time: context.time,
      operator: record.operator,
      list: record.list,
      sections: record.sections.map(edit => ({
        section: edit.section,
        base: edit.base,
        present: this.#lists[record.list].get(edit.section)?.revision ?? 0,
        removed: edit.body === null
      })),
      revision: refusal === null ? revision : null,
      refusal
    }
    this.#audit = [...this.#audit, entry].slice(-maximumAuditEntries)
  }
}

function indexByName (sections: readonly RevisedSection[]): SectionsByName {
  return new Map(sections.map(section => [section.name, section]))
}

function parseConfiguration (lists: Lists): Result<Configuration, string> {
  const parse = (sections: SectionsByName) => [...sections.values()].map(section => {
    return parseSection(section.name, 1, section.body)
  })
  const built = buildConfiguration({
    [ListName.Plans]: parse(lists[ListName.Plans]),
    [ListName.Usage]: parse(lists[ListName.Usage])
  })
  // Sections are parsed one at a time here, so line numbers would not match the operator's file.
  return built.mapErr(error => {
    return error.problems.map(problem => `[${problem.section ?? ''}] ${problem.message}`).join('; ')
  })
}
