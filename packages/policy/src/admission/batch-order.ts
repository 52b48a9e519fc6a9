/** Order of waiting batch requests: by slack class first, then by fair share among clients. */
import type { Cost } from '@arbutusloft/protocol'

/** Properties of a waiting batch request that decide its place in the order. */
export interface OrderedRequest {
  readonly client: string
  /** Milliseconds from the estimated end of the job's remaining work to its deadline; negative if it will be late. */
  readonly slack: number
  readonly cost: Cost
  /** The client's fair share relative to other clients. */
  readonly weight: number
}

/**
 * Upper bounds of the slack classes. The first class is already late; slack above the last bound forms one more class.
 * Within a class fair sharing among clients takes precedence over urgency.
 */
const slackClassBoundsMilliseconds: readonly number[] = [0, 300_000, 3_600_000, 21_600_000]

/** Work of generating one token, in units of the work of one prompt token. */
const completionTokenWeight = 4

/** Selects the next request by the work that each client was granted so far, divided by the client's weight. */
export class BatchOrder {
  /** Work granted to each client so far, in weighted tokens divided by the client's weight. */
  readonly #grantedWork = new Map<string, number>()
  /** Virtual time of fair queueing: the most work that any client had been granted when a further request of it was granted. */
  #virtualTime = 0

  /** Returns the index of the next request, or -1 if there are none. */
  next (requests: readonly OrderedRequest[]): number {
    let best = -1
    for (let index = 0; index < requests.length; index++) {
      const candidate = requests[index]
      const current = requests[best]
      if (candidate !== undefined && (current === undefined || this.#isBefore(candidate, current))) {
        best = index
      }
    }
    return best
  }

  /** Adds a granted request to the work of its client. */
  onGranted (request: OrderedRequest): void {
    const before = this.#grantedWorkOf(request.client)
    this.#virtualTime = Math.max(this.#virtualTime, before)
    this.#grantedWork.set(request.client, before + weightedTokens(request.cost) / request.weight)
  }

  #isBefore (left: OrderedRequest, right: OrderedRequest): boolean {
    const leftClass = slackClassOf(left.slack)
    const rightClass = slackClassOf(right.slack)
    if (leftClass !== rightClass) {
      return leftClass < rightClass
    }
    return this.#grantedWorkOf(left.client) < this.#grantedWorkOf(right.client)
  }

  // Granted work counts as at most maximumLagPromptTokens behind the virtual time, so that a client that was idle cannot
  // claim its unused share later.
  #grantedWorkOf (client: string): number {
    return Math.max(this.#grantedWork.get(client) ?? 0, this.#virtualTime - maximumLagPromptTokens)
  }
}

/** Maximum granted work, in prompt tokens per unit of weight, by which a client may lag behind the virtual time. */
const maximumLagPromptTokens = 50_000

function slackClassOf (slack: number): number {
  const index = slackClassBoundsMilliseconds.findIndex(bound => slack <= bound)
  return index === -1 ? slackClassBoundsMilliseconds.length : index
}

function weightedTokens (cost: Cost): number {
  return cost.promptTokens + cost.completionTokens * completionTokenWeight
}
