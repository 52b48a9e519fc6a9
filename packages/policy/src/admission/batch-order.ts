/** Order among waiting batch requests: by slack class, then by fair share among clients. */
import type { Cost } from '@arbutusloft/protocol'

/** A waiting batch request, as far as order is concerned. */
export interface OrderedRequest {
  readonly client: string
  readonly slack: number
  readonly cost: Cost
  /** The client's share relative to others. */
  readonly weight: number
}

// A class spans a range of slack within which fairness goes before urgency.
const slackClassMilliseconds: readonly number[] = [0, 300_000, 3_600_000, 21_600_000]

/** Work of a generated token, in units of a prompt token's. */
const completionTokenWeight = 4

/** Keeps what each client was served and picks the next request. */
export class BatchOrder {
  readonly #served = new Map<string, number>()
  #floor = 0

  /** Index of the request that is next, or -1 without requests. */
  next (requests: readonly OrderedRequest[]): number {
    let best = -1
    for (let index = 0; index < requests.length; index++) {
      const candidate = requests[index]
      const present = requests[best]
      if (candidate !== undefined && (present === undefined || this.#isBefore(candidate, present))) {
        best = index
      }
    }
    return best
  }

  /** A request of the client was granted. */
  onGranted (request: OrderedRequest): void {
    const before = this.#servedOf(request.client)
    this.#floor = Math.max(this.#floor, before)
    this.#served.set(request.client, before + workOf(request.cost) / request.weight)
  }

  #isBefore (left: OrderedRequest, right: OrderedRequest): boolean {
    const leftClass = slackClassOf(left.slack)
    const rightClass = slackClassOf(right.slack)
    if (leftClass !== rightClass) {
      return leftClass < rightClass
    }
    return this.#servedOf(left.client) < this.#servedOf(right.client)
  }

  // A client that was away starts level with the others and cannot claim what it did not use.
  #servedOf (client: string): number {
    return Math.max(this.#served.get(client) ?? 0, this.#floor - fairnessHorizon)
  }
}

/** Work, in prompt tokens, that a client may be behind the one served last. */
const fairnessHorizon = 50_000

function slackClassOf (slack: number): number {
  const index = slackClassMilliseconds.findIndex(bound => slack <= bound)
  return index === -1 ? slackClassMilliseconds.length : index
}

function workOf (cost: Cost): number {
  return cost.promptTokens + cost.completionTokens * completionTokenWeight
}
