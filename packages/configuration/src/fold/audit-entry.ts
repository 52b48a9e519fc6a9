/** Entries of the audit trail. */
import type { ListName } from '@arbutusloft/protocol'

/** One section within an audited edit. */
export interface AuditedSection {
  readonly section: string
  /** Revision that the operator saw. */
  readonly base: number
  /** Revision in force before the edit. */
  readonly present: number
  readonly removed: boolean
}

/** An accepted or refused edit of a list. */
export interface AuditEntry {
  readonly edit: string
  /** Epoch milliseconds of the log. */
  readonly time: number
  readonly operator: string
  readonly list: ListName
  readonly sections: readonly AuditedSection[]
  /** Revision made by the edit, or null if it was refused. */
  readonly revision: number | null
  /** Why the edit was refused, or null. */
  readonly refusal: string | null
}
