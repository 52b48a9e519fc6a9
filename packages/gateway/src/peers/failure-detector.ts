/**
 * Probes members and reports those that do not respond. A member that does not answer a probe is probed again through
 * others, since the path to it may be broken and not the member:
 * https://www.cs.cornell.edu/projects/Quicksilver/public_pdfs/SWIM.pdf
 */
import type { LocalHealth } from './local-health.js'

/** Time for a response to a direct probe; dozens of round trips, since an instance with a small share of a processor may pause for 100 ms. */
const directTimeoutMilliseconds = 150
/** Time for a response through other members, after the direct probe was not answered. */
const indirectTimeoutMilliseconds = 250
/** Members that are asked to probe a member that did not respond. */
const helperCount = 2
/** A timer that fires later than this was held up by this process itself, so a missing response says nothing. */
const toleratedLatenessMilliseconds = 75

/** What a {@link FailureDetector} needs of its surroundings. */
export interface FailureDetectorDependencies {
  readonly health: LocalHealth
  readonly sendPing: (address: string, sequence: number) => void
  /** Asks a helper to probe the target on behalf of this process. */
  readonly sendPingRequest: (helper: string, sequence: number, target: string) => void
  /** Returns up to `count` members that may act as helpers for the target. */
  readonly chooseHelpers: (target: string, count: number) => readonly string[]
  /** A member did not answer a direct probe. It may still answer. */
  readonly onOverdue: () => void
  /** A member answered no probe, neither directly nor through helpers; `probedAt` is the time of the first one, in milliseconds since the epoch. */
  readonly onUnresponsive: (address: string, probedAt: number) => void
}

interface Probe {
  readonly address: string
  readonly sequence: number
  readonly startedAt: number
  timer: NodeJS.Timeout | null
  /** Whether a helper has responded, so that the path from this process to others works. */
  helperResponded: boolean
}

/** Runs probes, at most one at a time for each member. */
export class FailureDetector {
  readonly #probes = new Map<string, Probe>()
  readonly #addresses = new Map<number, string>()
  #sequence = 0

  constructor (private readonly dependencies: FailureDetectorDependencies) {}

  /** Number of probes that wait for a response. */
  get pending (): number {
    return this.#probes.size
  }

  /** Starts to probe a member, unless a probe of it is pending. */
  probe (address: string): void {
    if (this.#probes.has(address)) {
      return
    }
    this.#sequence += 1
    const probe: Probe = { address, sequence: this.#sequence, startedAt: Date.now(), helperResponded: false, timer: null }
    this.#probes.set(address, probe)
    this.#addresses.set(probe.sequence, address)
    this.#setTimer(probe, () => { this.#onOverdue(probe) }, directTimeoutMilliseconds)
    this.dependencies.sendPing(address, probe.sequence)
  }

  /** Handles the response of the probed member, whether it came directly or through a helper. */
  onAck (sequence: number): void {
    const probe = this.#find(sequence)
    if (probe !== undefined) {
      this.#end(probe)
      this.dependencies.health.onResponse()
    }
  }

  /** Handles a helper's message that the probed member has not responded to it either. */
  onNack (sequence: number): void {
    const probe = this.#find(sequence)
    if (probe !== undefined) {
      probe.helperResponded = true
    }
  }

  close (): void {
    for (const probe of [...this.#probes.values()]) {
      this.#end(probe)
    }
  }

  #find (sequence: number): Probe | undefined {
    const address = this.#addresses.get(sequence)
    return address === undefined ? undefined : this.#probes.get(address)
  }

  #end (probe: Probe): void {
    if (probe.timer !== null) {
      clearTimeout(probe.timer)
    }
    this.#probes.delete(probe.address)
    this.#addresses.delete(probe.sequence)
  }

  #onOverdue (probe: Probe): void {
    for (const helper of this.dependencies.chooseHelpers(probe.address, helperCount)) {
      this.dependencies.sendPingRequest(helper, probe.sequence, probe.address)
    }
    // The first ping or its response may just have been lost.
    this.dependencies.sendPing(probe.address, probe.sequence)
    this.#setTimer(probe, () => { this.#onUnresponsive(probe) }, indirectTimeoutMilliseconds)
    this.dependencies.onOverdue()
  }

  #onUnresponsive (probe: Probe): void {
    this.#end(probe)
    if (!probe.helperResponded) {
      this.dependencies.health.onFault()
    }
    this.dependencies.onUnresponsive(probe.address, probe.startedAt)
  }

  /** Calls the handler after the timeout, or after the timeout once more if the process itself was held up meanwhile, unless the probe has ended by then. */
  #setTimer (probe: Probe, handler: () => void, timeoutMilliseconds: number): void {
    const timeout = timeoutMilliseconds * this.dependencies.health.timeoutFactor
    const dueAt = Date.now() + timeout
    probe.timer = setTimeout(() => {
      if (Date.now() - dueAt > toleratedLatenessMilliseconds) {
        probe.timer = setTimeout(handler, timeout)
        return
      }
      handler()
    }, timeout)
  }
}
