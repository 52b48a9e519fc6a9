/** Policies that decide when a request may go to which engine. */
import type { WorkClass } from '@arbutusloft/protocol'

/** Leave to send one request to one engine. */
export interface Lease {
  /** Index of the engine. */
  readonly engine: number
  /** Aborts when the leave is taken back. */
  readonly revoked: AbortSignal
  /** Gives the leave back, with what was seen in milliseconds. */
  release: (timeToFirstToken: number | null, timeBetweenTokens: number | null) => void
}

/** A policy in front of a number of engines. */
export interface SendPolicy {
  readonly name: string
  /** Waits for a leave. A request that goes on after a revocation names its former engine. */
  acquire: (workClass: WorkClass, resumeAt: number | null) => Promise<Lease>
  close: () => void
}

/** What a policy stands in front of. */
export interface PolicyOptions {
  readonly engines: number
  /** Requests that an engine runs at once. */
  readonly concurrency: number
}

/** A signal for leaves that nobody takes back. */
export function neverRevoked (): AbortSignal {
  return new AbortController().signal
}
