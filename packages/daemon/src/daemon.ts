/** The components that all processes of the system share. */
import { ConfigurationFold } from '@arbutusloft/configuration'
import type { Configuration, Settings } from '@arbutusloft/configuration'
import { createHttpInstanceList, createHttpLogService } from '@arbutusloft/adapters'
import type { InstanceList, LogService, MemberKind } from '@arbutusloft/adapters'
import { ownerOf } from '@arbutusloft/policy'
import { StreamName } from '@arbutusloft/protocol'
import type { Fold } from '@arbutusloft/state'
import PQueue from 'p-queue'
import { collectDefaultMetrics, Gauge, Registry } from 'prom-client'
import { ConfigurationGossip } from './configuration/configuration-gossip.js'
import type { Logger } from './create-logger.js'
import { createIdentity } from './identity.js'
import type { Identity } from './identity.js'
import { LinkMeter } from './links/link-meter.js'
import { SchedulerLinks } from './links/scheduler-links.js'
import { ChunkStore } from './log/chunk-store.js'
import { LogWriter } from './log/log-writer.js'
import { SnapshotWriter } from './log/snapshot-writer.js'
import { StreamFollower } from './log/stream-follower.js'
import { Membership } from './membership/membership.js'

/** Options of {@link Daemon}. */
export interface DaemonOptions {
  readonly settings: Settings
  readonly role: MemberKind
  readonly logger: Logger
}

const millisecondsPerSecond = 1_000
/** Snapshots written within one retention period of the log. */
const snapshotsPerRetention = 4
/** Milliseconds that each writer has for its pending records when the process stops. */
const writerCloseMilliseconds = 5_000

/** Creates the shared components from the settings. A role adds its own components and closes them before the daemon. */
export class Daemon {
  readonly identity: Identity
  readonly registry = new Registry()
  readonly log: LogService
  readonly membership: Membership
  readonly linkMeter: LinkMeter
  readonly configurationFold = new ConfigurationFold()
  readonly configurationFollower: StreamFollower
  readonly gossip: ConfigurationGossip
  readonly chunks: ChunkStore
  readonly #instanceList: InstanceList
  readonly #appendQueue: PQueue
  readonly #writers = new Map<StreamName, LogWriter>()
  readonly #followers: StreamFollower[] = []
  readonly #snapshotWriters: SnapshotWriter[] = []
  #links: SchedulerLinks | null = null

  constructor (readonly options: DaemonOptions) {
    const { settings, role, logger } = options
    this.identity = createIdentity(settings.instance.id, role, settings.instance.zone)
    collectDefaultMetrics({ register: this.registry })
    this.log = createHttpLogService({ address: settings.platform.log })
    this.#instanceList = createHttpInstanceList({ address: settings.platform.instanceList })
    this.membership = new Membership({
      instanceList: this.#instanceList,
      logger,
      pollIntervalMilliseconds: settings.limits.instanceListMilliseconds
    })
    this.linkMeter = new LinkMeter(this.registry)
    this.#appendQueue = createAppendQueue(settings.limits.appendsPerSecond)
    this.chunks = new ChunkStore({ log: this.log, appendQueue: this.#appendQueue, entryBytes: settings.limits.appendBytes })
    this.configurationFollower = this.createFollower(StreamName.Configuration, this.configurationFold)
    this.gossip = new ConfigurationGossip(this.configurationFollower)
    this.#addMetrics()
  }

  get settings (): Settings {
    return this.options.settings
  }

  get logger (): Logger {
    return this.options.logger
  }

  /** The configuration in force. */
  get configuration (): Configuration {
    return this.configurationFold.configuration
  }

  /** Fetches the instance list, then starts to poll it and to follow streams. */
  async start (): Promise<void> {
    await this.membership.start()
    for (const follower of this.#followers) {
      follower.start()
    }
  }

  /** Waits until the followers of all streams have caught up; the instance list is not waited for, unlike in {@link Daemon.caughtUp}. */
  async ready (): Promise<void> {
    await Promise.all(this.#followers.map(async follower => { await follower.ready }))
  }

  /** Whether the instance list has been fetched and all followers have caught up, so that the process can serve. */
  get caughtUp (): boolean {
    return this.membership.hasList && this.#followers.every(follower => follower.caughtUp)
  }

  /** Creates a follower of a stream, which is closed with the daemon. */
  createFollower (stream: StreamName, fold: Fold): StreamFollower {
    const follower = new StreamFollower({ log: this.log, stream, fold, logger: this.logger })
    this.#followers.push(follower)
    return follower
  }

  /** Creates a writer to a stream, which is closed with the daemon. */
  createWriter (stream: StreamName): LogWriter {
    const writer = new LogWriter({
      log: this.log,
      stream,
      writer: this.identity.writer,
      appendQueue: this.#appendQueue,
      logger: this.logger,
      entryBytes: this.settings.limits.appendBytes
    })
    this.#writers.set(stream, writer)
    return writer
  }

  /** Writes snapshots of a stream periodically while this process owns the stream among the live processes of its role. */
  createSnapshotWriter (stream: StreamName, follower: StreamFollower): SnapshotWriter {
    const snapshotWriter = new SnapshotWriter({
      log: this.log,
      stream,
      follower,
      logger: this.logger,
      intervalMilliseconds: this.settings.limits.retentionMilliseconds / snapshotsPerRetention,
      entryBytes: this.settings.limits.appendBytes,
      isOwner: () => this.ownsAmongPeers(stream)
    })
    this.#snapshotWriters.push(snapshotWriter)
    return snapshotWriter
  }

  /** Returns whether this process owns the key among the live processes of its role, by rendezvous hashing. */
  ownsAmongPeers (key: string): boolean {
    return ownerOf(key, this.membership.live(this.identity.role), null)?.id === this.identity.member
  }

  /** Opens links to all schedulers, also used for configuration gossip; they are closed with the daemon. */
  linkToSchedulers (): SchedulerLinks {
    const links = new SchedulerLinks({
      member: this.identity.member,
      secret: this.settings.link.secret,
      membership: this.membership,
      meter: this.linkMeter,
      logger: this.logger
    })
    links.onOpen(link => { this.gossip.addLink(link) })
    this.#links = links
    return links
  }

  #addMetrics (): void {
    const backlog = new Gauge({
      name: 'arbutus_log_backlog_bytes',
      help: 'Bytes of records that the log has not acknowledged',
      labelNames: ['stream'],
      registers: [this.registry],
      collect: () => {
        for (const [stream, writer] of this.#writers) {
          backlog.set({ stream }, writer.backlogBytes)
        }
      }
    })
  }

  /** Waits for the pending records of the writers, then closes all components. */
  async close (): Promise<void> {
    for (const snapshotWriter of this.#snapshotWriters) {
      snapshotWriter.close()
    }
    await Promise.all([...this.#writers.values()].map(async writer => { await writer.close(writerCloseMilliseconds) }))
    this.gossip.close()
    this.#links?.close()
    this.membership.close()
    await Promise.all(this.#followers.map(async follower => { await follower.close() }))
    await this.log.close()
    await this.#instanceList.close()
  }
}

function createAppendQueue (appendsPerSecond: number): PQueue {
  const intervalCap = Math.max(1, Math.floor(appendsPerSecond))
  // The queue limits only the rate at which appends start; each writer keeps its own appends in order.
  return new PQueue({ interval: intervalCap / appendsPerSecond * millisecondsPerSecond, intervalCap })
}
