/**
 * Confirms that this process knows all software versions which a service's targets have had. One that was paused, or is cut off from the others or from the
 * store, knows none of a target that has joined meanwhile and may have begun streams through other processes.
 */
import type { VersionHistory } from '@arbutusloft/policy'
import type { Membership } from '../peers/membership.js'
import { PeerMessageType } from '../peers/peer-messages.js'
import type { VersionAnswerMessage, VersionQueryMessage } from '../peers/peer-messages.js'
import type { PeerTransport } from '../peers/peer-socket.js'
import type { TargetFreshness } from '../targets/target-freshness.js'
import { afterNextRead } from '../util/after-next-read.js'
import { sample } from '../util/sample.js'

/** Processes that are asked. */
const askedProcesses = 6
/** Time after which those that have not answered are asked again: several round trips between availability zones. */
const repeatMilliseconds = 40
/** Time after which the answers that have come have to do. */
const askMilliseconds = 120

/** Dependencies of {@link VersionConfirmation}. */
export interface VersionConfirmationDependencies {
  readonly versions: VersionHistory
  readonly freshness: Pick<TargetFreshness, 'confirm'>
  readonly membership: Pick<Membership, 'live' | 'self'>
  readonly transport: PeerTransport
  /** Returns the addresses of the processes that follow a service's targets closely. */
  readonly nearOwners: (service: string) => readonly string[]
}

/** A question to other processes that is not decided yet. */
interface PendingQuery {
  readonly unanswered: Set<string>
  /** Whether a process has answered, and none differently from what this one knows. */
  isConfirmed: boolean
  readonly settle: (isConfirmed: boolean) => void
}

/** Reads the list of targets, and asks other processes for the case that the store does not answer. */
export class VersionConfirmation {
  /** Queries in flight, by service. */
  readonly #queries = new Map<string, PendingQuery[]>()

  constructor (private readonly dependencies: VersionConfirmationDependencies) {
    dependencies.transport.onMessage((message, sender) => {
      switch (message.type) {
        case PeerMessageType.VersionQuery:
          this.#onQuery(message, sender)
          return
        case PeerMessageType.VersionAnswer:
          this.#onAnswer(message, sender)
      }
    })
  }

  /**
   * Resolves with whether the history contains all versions that targets of a service had before the call: the list was read to its end after it, or
   * other processes have answered that they know no other version.
   */
  async confirm (service: string): Promise<boolean> {
    const asked = this.#ask(service)
    return await this.dependencies.freshness.confirm() || await asked
  }

  async #ask (service: string): Promise<boolean> {
    const asked = this.#chooseProcesses(service)
    if (asked.length === 0) {
      return false
    }
    return await new Promise(resolve => {
      const settle = (isConfirmed: boolean): void => {
        clearTimeout(repeatTimer)
        clearTimeout(endTimer)
        this.#queries.set(service, (this.#queries.get(service) ?? []).filter(other => other !== query))
        resolve(isConfirmed)
      }
      const query: PendingQuery = { unanswered: new Set(asked), isConfirmed: false, settle }
      const repeatTimer = setTimeout(() => { this.#sendQuery(service, query) }, repeatMilliseconds)
      const endTimer = setTimeout(() => { afterNextRead(() => { settle(query.isConfirmed) }) }, askMilliseconds)
      this.#queries.set(service, [...this.#queries.get(service) ?? [], query])
      this.#sendQuery(service, query)
    })
  }

  /** Returns the addresses of the other processes that follow the service's targets closely, and of some others if these are few. */
  #chooseProcesses (service: string): readonly string[] {
    const { membership, nearOwners } = this.dependencies
    const { address: own } = membership.self
    const near = nearOwners(service).filter(address => address !== own)
    const others = membership.live().map(({ address }) => address).filter(address => address !== own && !near.includes(address))
    return [...near, ...sample(others, Math.max(0, askedProcesses - near.length))]
  }

  #sendQuery (service: string, { unanswered }: PendingQuery): void {
    for (const address of unanswered) {
      this.dependencies.transport.send(address, { type: PeerMessageType.VersionQuery, service })
    }
  }

  #onQuery ({ service }: VersionQueryMessage, sender: string): void {
    const { versions, transport } = this.dependencies
    const now = Date.now()
    transport.send(sender, { type: PeerMessageType.VersionAnswer, service, versions: versions.recentVersions(service, now), isMixed: versions.isMixed(service, now) })
  }

  #onAnswer ({ service, versions: theirs, isMixed }: VersionAnswerMessage, sender: string): void {
    const { versions } = this.dependencies
    const now = Date.now()
    const own = versions.recentVersions(service, now)
    const isSame = !isMixed && theirs.every(version => own.includes(version))
    if (!isSame) {
      versions.markMixed(service, now)
    }
    for (const query of this.#queries.get(service) ?? []) {
      query.unanswered.delete(sender)
      query.isConfirmed = isSame
      if (!isSame || query.unanswered.size === 0) {
        query.settle(isSame)
      }
    }
  }
}
