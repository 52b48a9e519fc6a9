/** Checker: each client's charge matches the service it received. */
import type { Verdict } from './verdict.js'

/** Charged requests of one client and subject. */
export interface ChargedRequests {
  readonly client: string
  readonly subject: string
  readonly requests: number
}

/** Service that was received: certainly, and at most, where an answer may have been lost on the last yard. */
export interface ReceivedRequests {
  readonly client: string
  readonly subject: string
  readonly certainly: number
  readonly atMost: number
}

/** Compares charges with what callers received. */
export function checkCharges (charged: readonly ChargedRequests[], received: readonly ReceivedRequests[]): Verdict {
  const broken: string[] = []
  let checked = 0
  for (const expected of received) {
    const line = charged.find(candidate => candidate.client === expected.client && candidate.subject === expected.subject)
    const requests = line?.requests ?? 0
    checked += expected.atMost
    if (requests < expected.certainly || requests > expected.atMost) {
      broken.push(`${expected.client} was charged for ${requests} of ${expected.subject} and received ${expected.certainly} to ${expected.atMost}`)
    }
  }
  for (const line of charged) {
    if (!received.some(candidate => candidate.client === line.client && candidate.subject === line.subject)) {
      broken.push(`${line.client} was charged for ${line.subject}, which it did not use`)
    }
  }
  return { promise: 'charges match the service received', checked, broken }
}
