/** Decodes the content of a submission's record, which may come from another writer. */
import type { SubmissionRecord } from './job-records.js'

/** What the record holds beside its key. */
export type SubmissionContent = Omit<SubmissionRecord, 'kind' | 'job'>
type SubmissionItem = SubmissionContent['items'][number]

/** Greatest time in milliseconds since the epoch; a job accepted later would never expire. */
const latestTime = Date.UTC(2100, 0)
/** Number of records that hold the bodies of a job. */
const maximumParts = 10_000
/** What a request can carry: https://www.rfc-editor.org/rfc/rfc9110#section-5.5 */
const pathForm = /^\/[\x21-\x7e]*$/
const headerForm = /^[\t\x20-\x7e]*$/
/** Targets get the name of the account in a header. */
const accountForm = /^[\x21-\x7e]+$/

/** A record of the jobs holds what no process of the fleet writes. */
export class InvalidRecordError extends Error {
  override readonly name = 'InvalidRecordError'
}

/** Checks the content of a submission; throws an {@link InvalidRecordError} that names the first field which is missing, of another type or out of range. */
export function decodeSubmission (value: unknown): SubmissionContent {
  const content = recordOf(value, 'submission')
  check(typeof content.route === 'string', 'route', content.route, 'a text')
  check(isWhole(content.acceptedAt, latestTime), 'acceptedAt', content.acceptedAt, `a time up to ${latestTime}`)
  check(typeof content.acceptedBy === 'string', 'acceptedBy', content.acceptedBy, 'a text')
  check(isWhole(content.parts, maximumParts), 'parts', content.parts, `a number up to ${maximumParts}`)
  check(content.account === undefined || (typeof content.account === 'string' && accountForm.test(content.account)), 'account', content.account, 'a name of visible ASCII characters')
  check(Array.isArray(content.items) && content.items.length > 0, 'items', content.items, 'a list of items')
  const items: unknown = content.items
  for (const [index, item] of (items as readonly unknown[]).entries()) {
    checkItem(recordOf(item, 'item'), index)
  }
  return value as SubmissionContent
}

/** Returns the number that a part of a key stands for; throws an {@link InvalidRecordError} if it is none of a record of bodies. */
export function decodePart (text: string | undefined): number {
  const part = Number(text)
  check(text !== '' && isWhole(part, maximumParts - 1), 'part', text, `a number below ${maximumParts}`)
  return part
}

function checkItem ({ id, path, headers, tokens, bodyBytes }: Readonly<Partial<Record<keyof SubmissionItem, unknown>>>, index: number): void {
  if (typeof id !== 'string') {
    throw errorOf(`items[${index}].id`, id, 'a text')
  }
  if (typeof path !== 'string' || !pathForm.test(path)) {
    throw errorOf(`items[${index}].path`, path, 'a path')
  }
  if (!Array.isArray(headers) || !headers.every(text => typeof text === 'string' && headerForm.test(text))) {
    throw errorOf(`items[${index}].headers`, headers, 'texts that headers can hold')
  }
  if (typeof tokens !== 'number' || !Number.isFinite(tokens) || tokens < 0) {
    throw errorOf(`items[${index}].tokens`, tokens, 'a number that is not negative')
  }
  if (!isWhole(bodyBytes, Number.MAX_SAFE_INTEGER)) {
    throw errorOf(`items[${index}].bodyBytes`, bodyBytes, 'a length')
  }
}

function recordOf (value: unknown, place: string): Readonly<Record<string, unknown>> {
  check(typeof value === 'object' && value !== null, place, value, 'an object')
  return value as Readonly<Record<string, unknown>>
}

function isWhole (value: unknown, maximum: number): boolean {
  return Number.isInteger(value) && Number(value) >= 0 && Number(value) <= maximum
}

function check (condition: boolean, place: string, value: unknown, expected: string): asserts condition {
  if (!condition) {
    throw errorOf(place, value, expected)
  }
}

function errorOf (place: string, value: unknown, expected: string): InvalidRecordError {
  return new InvalidRecordError(`${place} is ${textOf(value)}, expected ${expected}`)
}

function textOf (value: unknown): string {
  return typeof value === 'string' || typeof value === 'number' ? JSON.stringify(value).slice(0, 100) : typeof value
}
