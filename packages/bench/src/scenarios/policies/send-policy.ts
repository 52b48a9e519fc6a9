/** Interface of the policies that decide when a request is sent and to which engine. */
import type { WorkClass } from '@arbutusloft/protocol'

/** Permit to send one request to one engine. */
export interface Permit {
  /** Index of the engine. */
  readonly engine: number
  /** Aborts when the permit is revoked. */
  readonly revoked: AbortSignal
  /** Releases the permit and reports the observed latencies in milliseconds, or null where none was observed. */
  release: (timeToFirstToken: number | null, timeBetweenTokens: number | null) => void
}

/** Grants permits for a number of engines. */
export interface DispatchPolicy {
  readonly name: string
  /**
   * Waits for a permit.
   * @param previousEngine index of the engine of the previous permit if a revoked request continues, otherwise null
   */
  acquire: (workClass: WorkClass, previousEngine: number | null) => Promise<Permit>
  /** Ends the policy: clears its timer or its queues. */
  close: () => void
}

/** The engines that a policy grants permits for. */
export interface PolicyOptions {
  /** Number of engines. */
  readonly engineCount: number
  /** Maximum number of requests that an engine runs at once. */
  readonly concurrency: number
}

/** Returns a signal that never aborts, for permits that are never revoked. */
export function neverRevoked (): AbortSignal {
  return new AbortController().signal
}
