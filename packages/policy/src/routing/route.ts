/** Choice of a target for a request. */
import { blockCharacters, charactersPerToken } from './prefix-blocks.js'
import type { PrefixIndex } from './prefix-index.js'

/** A target that could serve the request. */
export interface RouteCandidate {
  readonly target: string
  readonly zone: string
  /** Milliseconds that a new request is expected to wait there. */
  readonly expectedWait: number
  /** Requests granted or waiting there, own recent dispatches included. */
  readonly occupied: number
  /** Requests that the target runs at once. */
  readonly concurrency: number
}

/** What is known when a request is routed. */
export interface RouteRequest {
  readonly blocks: readonly string[]
  /** Availability zone of the routing process. */
  readonly zone: string
  readonly candidates: readonly RouteCandidate[]
}

/** Options of {@link route}. */
export interface RouteOptions {
  /** Milliseconds that computing one prompt token takes. */
  readonly prefillMillisecondsPerToken: number
  /** Milliseconds added for a target in another availability zone. */
  readonly otherZoneMilliseconds: number
  /** Milliseconds that a fully occupied target's steps are slower than an empty one's. */
  readonly occupancyMilliseconds: number
}

export const defaultRoute: RouteOptions = {
  prefillMillisecondsPerToken: 0.3,
  otherZoneMilliseconds: 3,
  occupancyMilliseconds: 60
}

/**
 * The candidates, best first. A target's cost is its wait, the time to compute the part
 * of the prompt that it has not cached, its distance, and its occupancy. Ties keep the
 * order in which the candidates were given; callers rotate it.
 */
export function route (
  request: RouteRequest,
  index: PrefixIndex,
  options = defaultRoute
): readonly RouteCandidate[] {
  const costs = new Map<string, number>()
  for (const candidate of request.candidates) {
    costs.set(candidate.target, costOf(request, candidate, index, options))
  }
  const cost = (candidate: RouteCandidate): number => costs.get(candidate.target) ?? Infinity
  return [...request.candidates].sort((left, right) => cost(left) - cost(right))
}

function costOf (
  request: RouteRequest,
  candidate: RouteCandidate,
  index: PrefixIndex,
  options: RouteOptions
): number {
  const missing = request.blocks.length - index.match(candidate.target, request.blocks)
  const missingTokens = missing * blockCharacters / charactersPerToken
  const occupancy = candidate.occupied / Math.max(1, candidate.concurrency)
  const distance = candidate.zone === request.zone ? 0 : options.otherZoneMilliseconds
  return candidate.expectedWait +
    missingTokens * options.prefillMillisecondsPerToken +
    occupancy * options.occupancyMilliseconds +
    distance
}
