/** Pagination of lists, as in the OpenAI API. */
import { invalidRequest } from './api-error.js'

/** One page of a list. */
export interface Page<T> {
  readonly object: 'list'
  readonly data: readonly T[]
  readonly first_id: string | null
  readonly last_id: string | null
  readonly has_more: boolean
}

const defaultLimit = 20
const maximumLimit = 10_000

/** Returns the page selected by the query parameters `limit` and `after`, the identifier of the last object before the page; an unknown identifier selects the first page. */
export function paginate<T extends { readonly id: string }> (objects: readonly T[], query: URLSearchParams): Page<T> {
  const limit = Number(query.get('limit') ?? defaultLimit)
  if (!Number.isInteger(limit) || limit < 1 || limit > maximumLimit) {
    throw invalidRequest(`"limit" must be a whole number from 1 to ${maximumLimit}`, 'limit')
  }
  const after = query.get('after')
  const start = after === null ? 0 : objects.findIndex(object => object.id === after) + 1
  const data = objects.slice(start, start + limit)
  return {
    object: 'list',
    data,
    first_id: data[0]?.id ?? null,
    last_id: data.at(-1)?.id ?? null,
    has_more: start + limit < objects.length
  }
}
