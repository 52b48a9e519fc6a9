/** Results of batch items. */
import { createIdentifier } from '@arbutusloft/protocol'

/** Codes of errors in an error file. */
export const ItemErrorCode = {
  /** The input line is not a request. */
  Invalid: 'invalid_item',
  /** A target refused the request as such. */
  Rejected: 'rejected',
  /** Every try failed. */
  Failed: 'failed',
  /** The item may have run and may not be repeated. */
  OutcomeUnknown: 'outcome_unknown',
  /** The client's plan does not allow the model or service any more. */
  NotAllowed: 'not_allowed'
} as const

export type ItemErrorCode = typeof ItemErrorCode[keyof typeof ItemErrorCode]

/** An item's final result. */
export interface ItemResult {
  /** Position in the input file, from 0. */
  readonly item: number
  /** Line of the output or error file. */
  readonly line: string
  readonly failed: boolean
  /** Model or service. */
  readonly subject: string
  readonly promptTokens: number
  readonly completionTokens: number
}

/** What both kinds of results name. */
export interface ItemName {
  readonly item: number
  readonly customId: string
  readonly subject: string
}

/** A result for the output file. */
export function answeredItem (
  name: ItemName,
  status: number,
  body: unknown,
  tokens: { readonly promptTokens: number, readonly completionTokens: number }
): ItemResult {
  const line = JSON.stringify({
    id: createIdentifier('batch_req'),
    custom_id: name.customId,
    response: { status_code: status, request_id: createIdentifier('request'), body },
    error: null
  })
  return { item: name.item, line, failed: false, subject: name.subject, ...tokens }
}

/** A result for the error file. */
export function failedItem (name: ItemName, code: ItemErrorCode, message: string, status: number | null = null): ItemResult {
  const response = status === null ? null : { status_code: status, request_id: createIdentifier('request'), body: { error: { message } } }
  const line = JSON.stringify({
    id: createIdentifier('batch_req'),
    custom_id: name.customId,
    response,
    error: { code, message }
  })
  return { item: name.item, line, failed: true, subject: name.subject, promptTokens: 0, completionTokens: 0 }
}
