/** A request of a client, with what is left of its time. */
import type { IncomingMessage } from 'node:http'
import { RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { forwardedHeaders } from './forwarded-headers.js'
import type { HeaderNames } from './header-names.js'

/** What the filters of the online path need to know of a request. */
export interface OnlineRequest {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly headers: readonly string[]
  readonly body: Buffer | null
  readonly route: Route
  readonly service: string
  /** Identifiers of the prompt's shared parts, in order. */
  readonly prefix: readonly string[]
  /** Event after which the client resumes, or null. */
  readonly lastEventId: number | null
  /** Time at which the client stops waiting, in milliseconds since the epoch. */
  readonly deadline: number
  /** Whether the client said how long it waits. */
  readonly hasDeadline: boolean
}

const lastEventIdHeader = 'last-event-id'

/** Reads a client's request. Malformed optional headers count as absent: targets judge them. */
export function createOnlineRequest (
  request: IncomingMessage,
  body: Buffer,
  route: Route,
  service: string,
  names: HeaderNames,
  arrivedAt: number
): OnlineRequest {
  const budget = numberOf(request.headers[names.deadline])
  return {
    id: textOf(request.headers[names.requestId]),
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: forwardedHeaders(request.rawHeaders, new Set([names.deadline, names.expectedTarget, lastEventIdHeader, 'content-length'])),
    body: body.length === 0 && request.headers['content-length'] === undefined ? null : body,
    route,
    service,
    prefix: sharedParts(textOf(request.headers[names.promptPrefix])),
    lastEventId: numberOf(request.headers[lastEventIdHeader]),
    deadline: arrivedAt + Math.min(budget ?? Infinity, route.timeoutMilliseconds),
    hasDeadline: budget !== null
  }
}

/** Whether a request may run a second time from where it was broken off. */
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

/** The parts of a prompt that other requests may share: all but the last one, which is the request's own. */
export function sharedParts (prefix: string): readonly string[] {
  const parts = prefix.split(',').map(part => part.trim().split(':')[0] ?? '').filter(part => part !== '')
  return parts.slice(0, -1)
}

function textOf (value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : value?.[0] ?? ''
}

function numberOf (value: string | string[] | undefined): number | null {
  const text = textOf(value)
  const number = Number(text)
  return text === '' || !Number.isFinite(number) || number < 0 ? null : number
}
