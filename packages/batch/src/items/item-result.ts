/** Results of batch items, as lines of the output and error files. */
import { createIdentifier } from '@arbutusloft/protocol'

/** Error codes in the error file. */
export const ItemErrorCode = {
  /** The input line is not a valid request. */
  Invalid: 'invalid_item',
  /** The target rejected the request as invalid. */
  Rejected: 'rejected',
  /** Every attempt failed. */
  Failed: 'failed',
  /** It is not known whether the item ran, so it is not retried. */
  OutcomeUnknown: 'outcome_unknown',
  /** The client's plan does not allow the model or service, or no longer does. */
  NotAllowed: 'not_allowed'
} as const

export type ItemErrorCode = typeof ItemErrorCode[keyof typeof ItemErrorCode]

/** An item's final result. */
export interface ItemResult {
  /** Position in the input file, from 0. */
  readonly index: number
  /** Line of the output or error file. */
  readonly line: string
  /** Whether the line belongs to the error file. */
  readonly failed: boolean
  /** Model or service that the item names. */
  readonly subject: string
  readonly promptTokens: number
  readonly completionTokens: number
}

/** The fields that identify an item in its result. */
export interface ItemIdentity {
  /** Position in the input file, from 0. */
  readonly index: number
  /** The client's `custom_id` of the line; empty if the line has none. */
  readonly customId: string
  /** Model or service; empty for an invalid line. */
  readonly subject: string
}

/** Creates the result of an answered item, for the output file. */
export function createSuccessResult (
  identity: ItemIdentity,
  status: number,
  body: unknown,
  tokens: { readonly promptTokens: number, readonly completionTokens: number }
): ItemResult {
  const line = JSON.stringify({
    id: createIdentifier('batch_req'),
    custom_id: identity.customId,
    response: { status_code: status, request_id: createIdentifier('request'), body },
    error: null
  })
  return { index: identity.index, line, failed: false, subject: identity.subject, ...tokens }
}

/** Creates the result of a failed item, for the error file. */
export function createErrorResult (identity: ItemIdentity, code: ItemErrorCode, message: string, status: number | null = null): ItemResult {
  const response = status === null ? null : { status_code: status, request_id: createIdentifier('request'), body: { error: { message } } }
  const line = JSON.stringify({
    id: createIdentifier('batch_req'),
    custom_id: identity.customId,
    response,
    error: { code, message }
  })
  return { index: identity.index, line, failed: true, subject: identity.subject, promptTokens: 0, completionTokens: 0 }
}
