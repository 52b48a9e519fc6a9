/** Checks that each client is charged for the requests that were served to it. */
import type { CheckResult } from './check-result.js'

/** Number of requests that a client was charged for. */
export interface ChargedRequests {
  readonly client: string
  /** Model or service. */
  readonly subject: string
  readonly requests: number
}

/**
 * Lower and upper bound of the number of requests that were served to a client. If a response was lost, the caller cannot
 * know whether its request was served.
 */
export interface ServedRequests {
  readonly client: string
  /** Model or service. */
  readonly subject: string
  readonly minimum: number
  readonly maximum: number
}

/** Compares the charges with the requests that were served. */
export function checkCharges (charged: readonly ChargedRequests[], served: readonly ServedRequests[]): CheckResult {
  const violations: string[] = []
  let checked = 0
  for (const expected of served) {
    const charge = charged.find(candidate => candidate.client === expected.client && candidate.subject === expected.subject)
    const requests = charge?.requests ?? 0
    checked += expected.maximum
    if (requests < expected.minimum || requests > expected.maximum) {
      violations.push(`client ${expected.client} was charged for ${requests} requests to ${expected.subject}, expected ${expected.minimum} to ${expected.maximum}`)
    }
  }
  for (const charge of charged) {
    if (!served.some(candidate => candidate.client === charge.client && candidate.subject === charge.subject)) {
      violations.push(`client ${charge.client} was charged for ${charge.subject}, which it did not use`)
    }
  }
  return { guarantee: 'charges match the requests that were served', checked, violations }
}
