/**
 * Shares what is in quarantine. The owner of a service's slots decides on it; every other process keeps a copy and hands it to the next
 * owner, and the log keeps it for a fleet that starts again. Crashes that are counted before are told to the next owners only.
 */
import type { CrashQuarantine, QuarantineEntry } from '@arbutusloft/policy'
import type { GatewayMetrics } from '../metrics.js'
import type { Membership } from '../peers/membership.js'
import { PeerMessageType } from '../peers/peer-messages.js'
import type { PeerTransport } from '../peers/peer-socket.js'
import type { Logger } from '../util/logger.js'
import type { QuarantineLog } from './quarantine-log.js'

/** Entries in one datagram; each takes up to 50 bytes, and one packet carries 1,472. */
const entriesPerDatagram = 24

/** Dependencies of {@link QuarantineSharing}. */
export interface QuarantineSharingDependencies {
  readonly quarantine: CrashQuarantine
  readonly membership: Pick<Membership, 'live' | 'self'>
  readonly transport: PeerTransport
  /** Returns the addresses of the processes that may own slots after this one. */
  readonly successors: () => readonly string[]
  readonly log: QuarantineLog
  readonly metrics: GatewayMetrics
  readonly logger: Logger
}

/** Sends and receives entries. */
export class QuarantineSharing {
  constructor (private readonly dependencies: QuarantineSharingDependencies) {
    const { quarantine, transport, logger } = dependencies
    quarantine.onTrialEnded(({ digest, permit, end, since }) => { logger.info('trial ended', { digest, permit, end, took: Date.now() - since }) })
    quarantine.onChange((entry, isQuarantine) => { this.#onChange(entry, isQuarantine) })
    transport.onMessage(message => {
      if (message.type === PeerMessageType.Quarantine) {
        this.#merge(message.entries)
      }
    })
  }

  /** Reads the entries that earlier processes have kept; called once, since processes tell each other of later changes. */
  async load (): Promise<void> {
    this.#merge(await this.dependencies.log.load())
  }

  /** Tells a process that has become the owner of a service's slots what is known here. */
  tell (address: string): void {
    const { quarantine } = this.dependencies
    const entries = [...quarantine.entries(Date.now()), ...quarantine.cleared(), ...quarantine.answered()]
    for (let start = 0; start < entries.length; start += entriesPerDatagram) {
      this.#send(address, entries.slice(start, start + entriesPerDatagram))
    }
  }

  close (): void {
    this.dependencies.log.close()
  }

  #onChange (entry: QuarantineEntry, isQuarantine: boolean): void {
    const { membership, log, metrics, logger, successors } = this.dependencies
    if (!isQuarantine) {
      successors().forEach(address => { this.#send(address, [entry]) })
      return
    }
    metrics.quarantineChanges.inc({ change: changeOf(entry) })
    logger.warn('quarantine changed', { digest: entry.digest, periods: entry.periods, remaining: entry.remaining, version: entry.version })
    for (const { address } of membership.live()) {
      if (address !== membership.self.address) {
        this.#send(address, [entry])
      }
    }
    log.save(entry)
  }

  #send (address: string, entries: readonly QuarantineEntry[]): void {
    this.dependencies.transport.send(address, { type: PeerMessageType.Quarantine, entries })
  }

  #merge (entries: readonly QuarantineEntry[]): void {
    const now = Date.now()
    for (const entry of entries) {
      this.dependencies.quarantine.merge(entry, now)
    }
  }
}

/** Returns what has changed, as a label of the metric. */
function changeOf ({ periods }: QuarantineEntry): string {
  if (periods === 0) {
    return 'cleared'
  }
  return periods === 1 ? 'begun' : 'extended'
}
