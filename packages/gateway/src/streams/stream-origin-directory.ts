/**
 * Finds the origin of a stream that a client takes up at any process of the fleet. The process that sent the client the first event remembers it; while a service
 * has targets of several software versions, or its paths lead to another service as well or did lately, some other processes, chosen by the attempt's id, keep
 * copies, and another one writes them to the log.
 */
import { StreamKeepers, StreamOrigins } from '@arbutusloft/policy'
import type { KnownOrigin, StreamOrigin, VersionHistory } from '@arbutusloft/policy'
import type { Membership } from '../peers/membership.js'
import { PeerMessageType } from '../peers/peer-messages.js'
import type { OriginAnswerMessage, OriginQueryMessage, StreamOriginsMessage } from '../peers/peer-messages.js'
import type { PeerTransport } from '../peers/peer-socket.js'
import { afterNextRead } from '../util/after-next-read.js'
import type { OriginLog } from './origin-log.js'

/** Copies of an origin at other processes. Of three, one is left with 78% probability when six of ten processes are lost at once. */
const copies = 3
/** Processes that are asked: some of those that got the copies may have been replaced in the order by others that joined since. */
const askedProcesses = 6
/** Time after which those that have not answered are asked again: several round trips between availability zones. */
const repeatMilliseconds = 40
/** Time after which an origin that nobody has told counts as unknown; like the time after which the owner of a service is suspected. */
const askMilliseconds = 120
/** Time after which the log is read again for an origin that nobody knows. */
const rereadMilliseconds = 1_000
/** Key by which the recorder is chosen. */
const recorderKey = 'stream-origins'
/** Origins in one datagram; each takes up to 100 bytes, and one packet carries 1,472. */
const originsPerDatagram = 12

/** Dependencies of {@link StreamOriginDirectory}. */
export interface StreamOriginDirectoryDependencies {
  readonly versions: VersionHistory
  readonly membership: Pick<Membership, 'live' | 'ready' | 'self' | 'ownerCandidates'>
  readonly transport: PeerTransport
  /** Where origins outlast the loss of all processes; null if nowhere. */
  readonly log: Pick<OriginLog, 'add' | 'load'> | null
}

/** A question to other processes that is not answered yet. */
interface PendingQuery {
  readonly unanswered: Set<string>
  readonly settle: (origin: KnownOrigin | null) => void
}

/** Records and finds origins. */
export class StreamOriginDirectory {
  /** Origins of streams that this process sent to clients. */
  readonly #own = new StreamOrigins()
  /** Copies of those of other processes. */
  readonly #copies = new StreamOrigins()
  readonly #keepers = new StreamKeepers()
  /** Queries in flight, by attempt. */
  readonly #queries = new Map<string, PendingQuery[]>()
  /** The latest read of the log, which may be in flight. */
  #restored: Promise<void> = Promise.resolve()
  /** Time of that read, in milliseconds since the epoch. */
  #restoredAt = -Infinity

  constructor (private readonly dependencies: StreamOriginDirectoryDependencies) {
    const { versions, transport } = dependencies
    versions.onMixed(service => { this.#copy(this.#own.ofServices(new Set([service]), Date.now()), true) })
    transport.onMessage((message, sender) => {
      switch (message.type) {
        case PeerMessageType.StreamOrigins:
          this.#onCopies(message)
          return
        case PeerMessageType.OriginQuery:
          this.#onQuery(message, sender)
          return
        case PeerMessageType.OriginAnswer:
          this.#onAnswer(message, sender)
      }
    })
  }

  /**
   * Records that an attempt has brought a client the first event of a stream.
   *
   * @param isSoleService whether a client that takes the stream up can only get to this service
   */
  record (attempt: string, service: string, { softwareVersion, target, born }: StreamOrigin, isSoleService = true): void {
    const now = Date.now()
    const origin = { service, softwareVersion, target, born }
    this.#own.add(attempt, origin, now, now)
    const isMixed = this.dependencies.versions.isMixed(service, now)
    if (isMixed || !isSoleService) {
      this.#copy([{ attempt, origin, age: 0 }], isMixed)
    }
  }

  /**
   * Returns the origin of an attempt's stream. Resolves with null if nobody knows it, and also where nobody needs to be asked: the stream can only be
   * one of a single service, which has had a single version for as long as streams last.
   *
   * @param services services at which the stream can have begun
   */
  async find (attempt: string, services: ReadonlySet<string>): Promise<KnownOrigin | null> {
    const [service = ''] = services
    const isSole = services.size === 1 && this.dependencies.versions.soleVersion(service, Date.now()) !== null
    return this.#known(attempt) ?? (isSole ? null : await this.ask(attempt))
  }

  /** Asks other processes, and then the log, for the origin of an attempt's stream; resolves with null if none of them knows it. */
  async ask (attempt: string): Promise<KnownOrigin | null> {
    const known = this.#known(attempt)
    if (known !== null || attempt === '') {
      return known
    }
    const told = await this.#askProcesses(attempt)
    if (told !== null) {
      return told
    }
    await this.#restore()
    return this.#known(attempt)
  }

  /** Tells other processes where all streams of some services come from that began here and may be taken up. */
  copyAll (services: ReadonlySet<string>): void {
    if (services.size > 0) {
      this.#copy(this.#own.ofServices(services, Date.now()), false)
    }
  }

  async #askProcesses (attempt: string): Promise<KnownOrigin | null> {
    const asked = this.#keepersOf(attempt, this.dependencies.membership.live(), askedProcesses)
    if (asked.length === 0) {
      return null
    }
    return await new Promise(resolve => {
      const settle = (origin: KnownOrigin | null): void => {
        clearTimeout(repeatTimer)
        clearTimeout(endTimer)
        this.#forget(attempt, query)
        resolve(origin)
      }
      const query = { unanswered: new Set(asked), settle }
      const repeatTimer = setTimeout(() => { this.#sendQuery(attempt, query) }, repeatMilliseconds)
      const endTimer = setTimeout(() => { afterNextRead(() => { settle(null) }) }, askMilliseconds)
      this.#queries.set(attempt, [...this.#queries.get(attempt) ?? [], query])
      this.#sendQuery(attempt, query)
    })
  }

  /** Reads the origins in the log, unless that was done a moment ago. */
  async #restore (): Promise<void> {
    const { log } = this.dependencies
    const now = Date.now()
    if (log !== null && Math.abs(now - this.#restoredAt) >= rereadMilliseconds) {
      this.#restoredAt = now
      this.#restored = log.load().then(origins => {
        for (const { attempt, origin, begunAt } of origins ?? []) {
          this.#copies.add(attempt, origin, begunAt, now)
        }
      })
    }
    await this.#restored
  }

  #known (attempt: string): KnownOrigin | null {
    const now = Date.now()
    return this.#own.get(attempt, now) ?? this.#copies.get(attempt, now)
  }

  #sendQuery (attempt: string, { unanswered }: PendingQuery): void {
    for (const address of unanswered) {
      this.dependencies.transport.send(address, { type: PeerMessageType.OriginQuery, attempt })
    }
  }

  #forget (attempt: string, query: PendingQuery): void {
    const others = (this.#queries.get(attempt) ?? []).filter(other => other !== query)
    if (others.length === 0) {
      this.#queries.delete(attempt)
    } else {
      this.#queries.set(attempt, others)
    }
  }

  /** @param isLogged whether the copies are to outlast the loss of all processes, which costs writes */
  #copy (entries: StreamOriginsMessage['entries'], isLogged: boolean): void {
    const byKeeper = new Map<string, Array<StreamOriginsMessage['entries'][number]>>()
    const ready = this.dependencies.membership.ready()
    const recorder = isLogged ? this.#recorder : []
    if (isLogged) {
      this.#log(entries)
    }
    for (const entry of entries) {
      for (const address of new Set([...this.#keepersOf(entry.attempt, ready, copies), ...recorder])) {
        const kept = byKeeper.get(address) ?? []
        byKeeper.set(address, kept)
        kept.push(entry)
      }
    }
    for (const [address, kept] of byKeeper) {
      for (let start = 0; start < kept.length; start += originsPerDatagram) {
        this.dependencies.transport.send(address, { type: PeerMessageType.StreamOrigins, entries: kept.slice(start, start + originsPerDatagram) })
      }
    }
  }

  /** Address of the process that writes the origins to the log, if that is another one. */
  get #recorder (): readonly string[] {
    return this.dependencies.log === null || this.#isRecorder ? [] : this.#recorders
  }

  get #isRecorder (): boolean {
    return this.#recorders.includes(this.dependencies.membership.self.address)
  }

  get #recorders (): readonly string[] {
    return this.#keepers.of(recorderKey, this.dependencies.membership.ownerCandidates().map(({ address }) => address), 1)
  }

  /** Writes origins to the log if this process is the recorder. */
  #log (entries: StreamOriginsMessage['entries']): void {
    const { log } = this.dependencies
    if (log !== null && this.#isRecorder) {
      const now = Date.now()
      log.add(entries.map(({ attempt, origin, age }) => ({ attempt, origin, begunAt: now - age })))
    }
  }

  /** Returns the addresses of the other processes that come first for an attempt. */
  #keepersOf (attempt: string, members: ReadonlyArray<{ readonly address: string }>, count: number): readonly string[] {
    const { address: own } = this.dependencies.membership.self
    return this.#keepers.of(attempt, members.map(({ address }) => address).filter(address => address !== own), count)
  }

  #onCopies ({ entries }: StreamOriginsMessage): void {
    const now = Date.now()
    for (const { attempt, origin, age } of entries) {
      this.#copies.add(attempt, origin, now - age, now)
    }
    this.#log(entries)
  }

  #onQuery ({ attempt }: OriginQueryMessage, sender: string): void {
    this.dependencies.transport.send(sender, { type: PeerMessageType.OriginAnswer, attempt, origin: this.#known(attempt) })
  }

  #onAnswer ({ attempt, origin }: OriginAnswerMessage, sender: string): void {
    for (const query of this.#queries.get(attempt) ?? []) {
      query.unanswered.delete(sender)
      if (origin !== null || query.unanswered.size === 0) {
        query.settle(origin)
      }
    }
  }
}
