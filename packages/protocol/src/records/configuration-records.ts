/** Records of the configuration stream. */
import type { RecordType } from './record-type.js'

/** The two lists that operators edit. */
export const ListName = {
  Plans: 'plans',
  Usage: 'usage'
} as const

export type ListName = typeof ListName[keyof typeof ListName]

/** One section's change within an edit. */
export interface SectionEdit {
  /** Section name, such as `model stylist-small`. */
  readonly section: string
  /** Revision of the section that the operator saw; 0 when there was none. */
  readonly base: number
  /** The section's new lines in INI, without its header; null removes the section. */
  readonly body: string | null
}

/** An operator's edit of one list: all of its sections take effect, or none. */
export interface ConfigurationEdited {
  readonly type: typeof RecordType.ConfigurationEdited
  /** Identifier by which the publisher finds its own edit in the fold. */
  readonly edit: string
  readonly list: ListName
  readonly operator: string
  readonly sections: readonly SectionEdit[]
}

export type ConfigurationRecord = ConfigurationEdited
