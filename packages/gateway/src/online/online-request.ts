/** A client's online request, with its route and deadline. */
import type { IncomingMessage } from 'node:http'
import { RouteKind } from '@arbutusloft/policy'
import type { Route, SlotCaller, StreamOrigin } from '@arbutusloft/policy'
import type { CallerBudgets } from './caller-budgets.js'
import { requestDigest } from '../quarantine/request-digest.js'
import { accountHeader, accountHeadersOf } from '../accounts/account-headers.js'
import { forwardedHeaders } from './forwarded-headers.js'
import type { HeaderNames } from './header-names.js'

/** An online request, as it is dispatched to targets. */
export interface OnlineRequest {
  /** Value of the request id header; empty if the client sent none. */
  readonly id: string
  readonly method: string
  /** Path with query. */
  readonly path: string
  /** Names and values alternating, without hop-by-hop headers and those that the gateway sets itself. */
  readonly headers: readonly string[]
  readonly body: Buffer | null
  readonly route: Route
  /** Service of the route that was chosen for this request. */
  readonly service: string
  /** See {@link requestDigest}. */
  readonly digest: string
  /** Ids of the prompt parts that other requests may share, in order; used for prefix-cache affinity. */
  readonly prefix: readonly string[]
  /** Id of the event after which the client resumes a stream; null if it resumes none or names no number of an event. */
  readonly lastEventId: number | null
  /** What the client names in place of such a number, which only targets can judge; empty if nothing. */
  readonly otherEventId: string
  /** Id of the client's attempt that brought the first event of the stream which it takes up; empty if it named none. */
  readonly resumes: string
  /** Origin of the stream that the client takes up, or null if it takes up none. */
  readonly continues: StreamOrigin | null
  /** Time at which the client or the route times out, whichever is earlier, in milliseconds since the epoch. */
  readonly deadline: number
  /** Whether the client sent a timeout. */
  readonly hasDeadline: boolean
  /** Milliseconds that the client has spent on earlier attempts, as far as its timeout shows. */
  readonly spentMilliseconds: number
  /** Left out where the deployment has no client accounts. */
  readonly caller?: SlotCaller
}

const lastEventIdHeader = 'last-event-id'
/** A number of an event, few enough digits for it to be exact. */
const eventNumber = /^\d{1,15}$/
const unknownOrigin: StreamOrigin = { softwareVersion: '', target: '', born: 0 }

/** Whether a client takes up a stream that was interrupted. */
export function takesUpStream (request: IncomingMessage, route: Route): boolean {
  return route.kind === RouteKind.Stream && route.resumable && firstValueOf(request.headers[lastEventIdHeader]) !== ''
}

/** Returns the id of the client's attempt that brought the first event of the stream which a request takes up; empty if it names none. */
export function attemptResumedBy (request: IncomingMessage, names: HeaderNames): string {
  return firstValueOf(request.headers[names.resumes])
}

/**
 * Creates a request from the client's HTTP request. A malformed deadline counts as absent.
 *
 * @param origin origin of the stream that the client takes up, or null if it is unknown or there is none
 * @param caller who sends the request; null where the deployment has no client accounts
 */
export function createOnlineRequest (
  request: IncomingMessage,
  body: Buffer,
  route: Route,
  service: string,
  names: HeaderNames,
  budgets: CallerBudgets,
  arrivedAt: number,
  origin: StreamOrigin | null = null,
  caller: SlotCaller | null = null
): OnlineRequest {
  const timeout = nonNegativeNumberOf(request.headers[names.deadline])
  const budget = Math.min(timeout ?? Infinity, route.timeoutMilliseconds)
  const method = request.method ?? 'GET'
  const path = request.url ?? '/'
  const eventId = firstValueOf(request.headers[lastEventIdHeader])
  const isEventNumber = eventNumber.test(eventId)
  return {
    id: firstValueOf(request.headers[names.requestId]),
    method,
    path,
    digest: requestDigest({ host: route.host, method, path, body }),
    headers: [
      ...forwardedHeaders(request.rawHeaders, new Set([names.deadline, names.expectedTarget, lastEventIdHeader, 'content-length', ...(caller === null ? [] : accountHeadersOf(names))])),
      ...accountHeader(names, caller?.account ?? '')
    ],
    body: body.length === 0 && request.headers['content-length'] === undefined ? null : body,
    route,
    service,
    prefix: sharedPromptParts(firstValueOf(request.headers[names.promptPrefix])),
    resumes: attemptResumedBy(request, names),
    continues: takesUpStream(request, route) ? origin ?? unknownOrigin : null,
    lastEventId: isEventNumber ? Number(eventId) : null,
    otherEventId: isEventNumber ? '' : eventId,
    deadline: arrivedAt + budget,
    hasDeadline: timeout !== null,
    spentMilliseconds: timeout === null ? 0 : budgets.spentOf(route.name, budget, arrivedAt),
    ...(caller === null ? {} : { caller })
  }
}

/** Whether a request of this route may be sent again after an attempt that may have run it. */
export function isRepeatable (route: Route): boolean {
  switch (route.kind) {
    case RouteKind.Idempotent:
    case RouteKind.Batch:
      return true
    case RouteKind.Stream:
      return route.resumable
    case RouteKind.SingleRun:
      return false
  }
}

/** Returns the ids of the prompt parts that other requests may share: all but the last part, which is specific to the request. */
export function sharedPromptParts (prefix: string): readonly string[] {
  const parts = prefix.split(',').map(part => part.trim().split(':')[0] ?? '').filter(part => part !== '')
  return parts.slice(0, -1)
}

function firstValueOf (value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : value?.[0] ?? ''
}

function nonNegativeNumberOf (value: string | string[] | undefined): number | null {
  const text = firstValueOf(value)
  const number = Number(text)
  return text === '' || !Number.isFinite(number) || number < 0 ? null : number
}
