/** Order of waiting batch requests: by slack class first, then by fair share among clients. */
import type { Cost } from '@arbutusloft/protocol'

/** Properties of a waiting batch request that decide its place in the order. */
export interface OrderedRequest {
  readonly client: string
  /** Milliseconds between the job's deadline and the end of its remaining work. */
  readonly slack: number
  readonly cost: Cost
  /** The client's fair share relative to other clients. */
  readonly weight: number
}

// Upper bounds of the slack classes. Within a class fair sharing among clients takes precedence over urgency.
const slackClassMilliseconds: readonly number[] = [0, 300_000, 3_600_000, 21_600_000]

/** Work of generating one token, in units of the work of one prompt token. */
const completionTokenWeight = 4

/** Selects the next request by the work that each client was granted so far, divided by the client's weight. */
export class BatchOrder {
  readonly #served = new Map<string, number>()
  #floor = 0

  /** Returns the index of the next request, or -1 if there are none. */
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

  /** Adds a granted request to the work of its client. */
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

  // A client without recent requests starts close to the level of the others and cannot claim the share that it did not use.
  #servedOf (client: string): number {
    return Math.max(this.#served.get(client) ?? 0, this.#floor - fairnessHorizon)
  }
}

/** Maximum work, in prompt tokens, by which a client may lag behind the client served last. */
const fairnessHorizon = 50_000

function slackClassOf (slack: number): number {
  const index = slackClassMilliseconds.findIndex(bound => slack <= bound)
  return index === -1 ? slackClassMilliseconds.length : index
}

function workOf (cost: Cost): number {
  return cost.promptTokens + cost.completionTokens * completionTokenWeight
}
