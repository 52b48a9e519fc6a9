/** Entries of the audit trail of list edits. */
import type { ListName } from '@arbutusloft/protocol'

/** One section within an audited edit. */
export interface AuditedSection {
  readonly section: string
  /** Revision of the section that the edit was based on; 0 if the section did not exist. */
  readonly base: number
  /** Revision of the section in force when the edit was applied; 0 if the section did not exist. */
  readonly present: number
  /** Whether the edit removes the section. */
  readonly removed: boolean
}

/** An accepted or rejected edit of a list. */
export interface AuditEntry {
  /** Identifier of the edit, chosen by the process that appended it. */
  readonly edit: string
  /** Epoch milliseconds at which the log stored the edit, by the log's clock. */
  readonly time: number
  /** Name of the operator who made the edit. */
  readonly operator: string
  readonly list: ListName
  readonly sections: readonly AuditedSection[]
  /** Revision that the edit created, or null if it was rejected. */
  readonly revision: number | null
  /** Reason for the rejection, or null if the edit was accepted. */
  readonly refusal: string | null
}
