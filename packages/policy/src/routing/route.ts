/** Ranking of the targets that could run a request. */
import { charactersPerBlock, charactersPerToken } from './prefix-blocks.js'
import type { PrefixIndex } from './prefix-index.js'

/** A target that could run the request. */
export interface RouteCandidate {
  readonly target: string
  readonly zone: string
  /** Milliseconds that a new request is expected to wait for the target. */
  readonly expectedWait: number
  /** Number of requests granted or waiting there, including this process's own most recent ones. */
  readonly occupied: number
  /** Number of requests that the target runs concurrently. */
  readonly concurrency: number
}

/** A request to be routed, with its candidate targets. */
export interface RouteRequest {
  readonly blocks: readonly string[]
  /** Availability zone of the process that routes the request. */
  readonly zone: string
  readonly candidates: readonly RouteCandidate[]
}

/** Options of {@link rankTargets}. */
export interface RouteOptions {
  /** Milliseconds to compute one prompt token. */
  readonly prefillMillisecondsPerToken: number
  /** Milliseconds added for a target in another availability zone. */
  readonly otherZoneMilliseconds: number
  /** Milliseconds by which the steps of a fully occupied target take longer than those of an empty one. */
  readonly occupancyMilliseconds: number
}

export const defaultRouteOptions: RouteOptions = {
  prefillMillisecondsPerToken: 0.3,
  otherZoneMilliseconds: 3,
  occupancyMilliseconds: 60
}

/**
 * Returns the candidates in ascending order of cost. The cost of a target, in milliseconds, is the sum of its expected
 * wait, the time to compute the prompt blocks that it does not cache, a fixed cost if it is in another availability zone,
 * and the delay caused by its occupancy. Candidates of equal cost keep their order; callers rotate the list to spread requests.
 */
export function rankTargets (
  request: RouteRequest,
  index: PrefixIndex,
  options = defaultRouteOptions
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
  const uncachedBlocks = request.blocks.length - index.match(candidate.target, request.blocks)
  const uncachedTokens = uncachedBlocks * charactersPerBlock / charactersPerToken
  const occupancy = candidate.occupied / Math.max(1, candidate.concurrency)
  const otherZoneCost = candidate.zone === request.zone ? 0 : options.otherZoneMilliseconds
  return candidate.expectedWait +
    uncachedTokens * options.prefillMillisecondsPerToken +
    occupancy * options.occupancyMilliseconds +
    otherZoneCost
}
