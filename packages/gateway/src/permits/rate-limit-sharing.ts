/**
 * Passes on the rate limits that targets name in their answers: to the processes that grant slots on the targets or would soon, and to those that
 * begin to.
 */
import type { RateLimitReport, TargetRateLimits } from '@arbutusloft/policy'
import { PeerMessageType } from '../peers/peer-messages.js'
import type { RateLimitsMessage } from '../peers/peer-messages.js'
import type { PeerTransport } from '../peers/peer-socket.js'
import type { SlotOwner } from './slot-owner.js'

/** Number of reports in a datagram, so that it fits into a packet. */
const reportsPerMessage = 8

/** Tells others the limits that this process has heard, and takes over theirs. */
export class RateLimitSharing {
  constructor (
    private readonly limits: TargetRateLimits,
    private readonly transport: PeerTransport,
    private readonly owner: Pick<SlotOwner, 'onRateLimit'>
  ) {}

  /**
   * Takes over what an answer to a request of this process said, and passes it on. Each answer that names a limit is passed on, since the receivers
   * count the requests that others have granted; one without is passed on only if a limit is known, which it may end.
   *
   * @param permit permit of the answer's request
   * @param isLimited whether the owner knew a limit when it granted the permit
   * @param addresses processes that have granted slots on the target, or may soon
   */
  onAnswer (report: RateLimitReport, permit: string, isLimited: boolean, addresses: readonly string[]): void {
    if (report.requestsPerSecond === null && !isLimited && this.limits.limitOf(report.target, report.born) === null) {
      return
    }
    this.owner.onRateLimit(report, this.transport.address, permit)
    for (const address of new Set(addresses)) {
      this.#send(address, [report], permit)
    }
  }

  /** Tells other processes all limits of a service's targets that this process knows. */
  tell (service: string, addresses: readonly string[]): void {
    const reports = this.limits.reportsOf(service, Date.now())
    for (const address of addresses) {
      for (let index = 0; index < reports.length; index += reportsPerMessage) {
        this.#send(address, reports.slice(index, index + reportsPerMessage), null)
      }
    }
  }

  /** Takes over limits that another process has heard; ignores what is not a report. */
  onMessage ({ reports, permit }: RateLimitsMessage, sender: string): void {
    if (!Array.isArray(reports)) {
      return
    }
    for (const report of reports.filter(isReport)) {
      this.owner.onRateLimit(report, sender, permit ?? null)
    }
  }

  #send (address: string, reports: readonly RateLimitReport[], permit: string | null): void {
    if (address !== this.transport.address) {
      this.transport.send(address, { type: PeerMessageType.RateLimits, reports, ...(permit === null ? {} : { permit }) })
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
