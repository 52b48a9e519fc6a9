/**
 * Passes on the rate limits that targets name in their answers, and the requests that are granted on such targets: to the processes that grant slots
 * on the targets or would soon, and to those that begin to.
 */
import type { RateLimitReport, TargetRateLimits } from '@arbutusloft/policy'
import { PeerMessageType } from '../peers/peer-messages.js'
import type { RateLimitsMessage } from '../peers/peer-messages.js'
import type { PeerTransport } from '../peers/peer-socket.js'
import type { TargetEndpoint, TargetRegistry } from '../targets/target-registry.js'
import type { SlotOwner } from './slot-owner.js'

/** Number of reports in a datagram, so that it fits into a packet. */
const reportsPerMessage = 8

/** Tells others the limits that this process has heard and what it grants within them, and takes over theirs. */
export class RateLimitSharing {
  constructor (
    private readonly limits: TargetRateLimits,
    private readonly targets: TargetRegistry,
    private readonly transport: PeerTransport,
    private readonly owner: Pick<SlotOwner, 'onRateLimit'>
  ) {}

  /**
   * Takes over what an answer to a request of this process said, and passes it on if the owner did not know it.
   *
   * @param permit permit of the answer's request
   * @param grantedLimit limit that the owner knew when it granted the permit, or null
   * @param addresses processes that have granted slots on the target, or may soon
   */
  onAnswer (report: RateLimitReport, permit: string, grantedLimit: number | null, addresses: Iterable<string>): void {
    const { requestsPerSecond, target, born } = report
    if (requestsPerSecond === null && grantedLimit === null && this.limits.limitOf(target, born) === null) {
      return
    }
    this.owner.onRateLimit(report, this.transport.address, permit)
    if (requestsPerSecond === null || requestsPerSecond !== grantedLimit) {
      this.#sendAll(addresses, [report], permit)
    }
  }

  /** Tells the other owners of a service what this one has granted on a target, if that has a limit, so that it counts there too. */
  onGranted ({ id, born }: Pick<TargetEndpoint, 'id' | 'born'>, permit: string, addresses: Iterable<string>): void {
    const report = this.limits.reportOf(id, born, Date.now())
    if (report !== null) {
      this.#sendAll(addresses, [report], permit)
    }
  }

  /** Tells other processes all limits of a service's listed targets that this process knows. */
  tell (service: string, addresses: readonly string[]): void {
    const now = Date.now()
    const reports = addresses.length === 0 ? [] : this.targets.ofService(service).flatMap(({ id, born }) => this.limits.reportOf(id, born, now) ?? [])
    for (let index = 0; index < reports.length; index += reportsPerMessage) {
      this.#sendAll(addresses, reports.slice(index, index + reportsPerMessage), null)
    }
  }

  /** Takes over limits that another process has heard; ignores what is not a report. */
  onMessage ({ reports, permit }: RateLimitsMessage, sender: string): void {
    if (!Array.isArray(reports)) {
      return
    }
    for (const report of reports.filter(isReport)) {
      this.owner.onRateLimit(report, sender, typeof permit === 'string' ? permit : null)
    }
  }

  #sendAll (addresses: Iterable<string>, reports: readonly RateLimitReport[], permit: string | null): void {
    for (const address of new Set(addresses)) {
      if (address !== this.transport.address) {
        this.transport.send(address, { type: PeerMessageType.RateLimits, reports, ...(permit === null ? {} : { permit }) })
      }
    }
  }
}

function isReport (value: unknown): value is RateLimitReport {
  if (typeof value !== 'object' || value === null) {
    return false
  }
  const { service, target, born, requestsPerSecond, sentAgo, heardAgo } = value as Partial<Record<keyof RateLimitReport, unknown>>
  return typeof service === 'string' && typeof target === 'string' && (requestsPerSecond === null || isAmount(requestsPerSecond)) &&
    [born, sentAgo, heardAgo].every(isAmount)
}

function isAmount (value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
