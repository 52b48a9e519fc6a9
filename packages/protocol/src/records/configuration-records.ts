/** Records of the configuration stream. */
import type { RecordType } from './record-type.js'

/** The two lists of INI sections that make up the configuration, edited by operators. */
export const ListName = {
  /** Clients and their plans. */
  Plans: 'plans',
  /** Models, plain services and the targets that serve them. */
  Usage: 'usage'
} as const

export type ListName = typeof ListName[keyof typeof ListName]

/** Change of one section within an edit. */
export interface SectionEdit {
  /** Section name, such as `model stylist-small`. */
  readonly section: string
  /** Revision of the section on which the edit is based, 0 for a new section. The edit is rejected if the section has another one. */
  readonly base: number
  /** The section's new content in INI format, without the header line; null removes the section. */
  readonly body: string | null
}

/** An operator's edit of one list, applied atomically: either every section changes or none does. */
export interface ConfigurationEdited {
  readonly type: typeof RecordType.ConfigurationEdited
  /** Identifier by which the publishing entry finds the outcome of its edit in the fold. */
  readonly edit: string
  readonly list: ListName
  readonly operator: string
  readonly sections: readonly SectionEdit[]
}

export type ConfigurationRecord = ConfigurationEdited
