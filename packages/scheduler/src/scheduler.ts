/** Scheduler process. */
import { ownerOf, AllowanceSplit } from '@arbutusloft/policy'
import { createHttpEngine, MemberKind, MemberState } from '@arbutusloft/adapters'
import type { Engine } from '@arbutusloft/adapters'
import { MessageType, StreamName } from '@arbutusloft/protocol'
import type { LimitDemand, LinkMessage } from '@arbutusloft/protocol'
import { LedgerFold } from '@arbutusloft/state'
import { Daemon, sleep, startHealthServer, startLinkServer } from '@arbutusloft/daemon'
import type { HttpServer, Link, LinkServer, Logger, Readiness, RunningRole } from '@arbutusloft/daemon'
import { batchWeightOf } from '@arbutusloft/configuration'
import type { Settings } from '@arbutusloft/configuration'
import { LedgerBackup } from './ledger-backup.js'
import { ExternalLoadDetector } from './external-load-detector.js'
import { addSchedulerMetrics } from './scheduler-metrics.js'
import { PermitManager } from './permit-manager.js'

const tickIntervalMilliseconds = 50
/** Milliseconds between checks whether the load report has changed. */
const loadReportIntervalMilliseconds = 200
/** Milliseconds after which an unchanged load report is sent again. */
const unchangedLoadReportIntervalMilliseconds = 1_000
const pruneIntervalMilliseconds = 10_000
/** Milliseconds that a holder whose link broke has to reconnect before its permits are freed. */
const reconnectGraceMilliseconds = 3_000
/** Maximum time for which a scheduler that shuts down waits for its permits to move to other schedulers. */
const drainTimeoutMilliseconds = 5_000

/** A running scheduler. */
export interface Scheduler extends RunningRole {
  /** Address on which it accepts links. */
  readonly linkAddress: string
}

/**
 * Starts a scheduler.
 *
 * @throws if the settings have no link address
 */
export async function startScheduler (settings: Settings, logger: Logger): Promise<Scheduler> {
  const { link, health } = settings.listen
  if (link === null) {
    throw new Error('a scheduler requires the setting "link" in the section [listen], which is missing')
  }
  const scheduler = new SchedulerProcess(settings, logger)
  await scheduler.start(link, health)
  return scheduler
}

class SchedulerProcess implements Scheduler {
  readonly #daemon: Daemon
  readonly #ledger = new LedgerFold()
  readonly #permits: PermitManager
  readonly #allowanceSplit = new AllowanceSplit()
  readonly #engine: Engine = createHttpEngine()
  readonly #ledgerBackup: LedgerBackup
  readonly #externalLoad: ExternalLoadDetector
  readonly #timers: NodeJS.Timeout[] = []
  #linkServer: LinkServer | null = null
  #healthServer: HttpServer | null = null
  #lastReport = ''
  #reportedAt = 0

  constructor (settings: Settings, logger: Logger) {
    this.#daemon = new Daemon({ settings, role: MemberKind.Scheduler, logger })
    const ledgerFollower = this.#daemon.createFollower(StreamName.Ledger, this.#ledger)
    this.#permits = new PermitManager({
      target: name => this.#daemon.configuration.targets.get(name) ?? null,
      isLive: name => this.#daemon.membership.find(name)?.state === MemberState.Live,
      batchWeight: client => batchWeightOf(this.#daemon.configuration, client)
    }, holder => this.#linkOf(holder))
    this.#ledgerBackup = new LedgerBackup({
      fold: this.#ledger,
      follower: ledgerFollower,
      writer: this.#daemon.createWriter(StreamName.Ledger)
    })
    this.#externalLoad = new ExternalLoadDetector({
      engine: this.#engine,
      ownedEngines: () => this.#ownedEngines(),
      grantedCount: target => this.#permits.grantedCount(target),
      onExternalLoad: (target, requests) => { this.#permits.setExternalRequests(target, requests) }
    })
    this.#daemon.createSnapshotWriter(StreamName.Configuration, this.#daemon.configurationFollower)
    this.#daemon.createSnapshotWriter(StreamName.Ledger, ledgerFollower)
    addSchedulerMetrics(this.#daemon.registry, () => this.#permits.loads(), () => this.#ledgerBackup.size)
  }

  get linkAddress (): string {
    return this.#linkServer?.address ?? ''
  }

  get addresses (): RunningRole['addresses'] {
    return { link: this.linkAddress, health: this.#healthServer?.address ?? null }
  }

  async start (linkAddress: string, healthAddress: string | null): Promise<void> {
    this.#linkServer = await startLinkServer({
      address: linkAddress,
      member: this.#daemon.identity.member,
      secret: this.#daemon.settings.link.secret,
      meter: this.#daemon.linkMeter,
      logger: this.#daemon.logger,
      onLink: link => { this.#onLink(link) }
    })
    if (healthAddress !== null) {
      const readiness = (): Readiness => this.#readiness()
      this.#healthServer = await startHealthServer(healthAddress, { registry: this.#daemon.registry, readiness })
    }
    await this.#daemon.start()
    this.#repeat(tickIntervalMilliseconds, () => { this.#permits.tick() })
    this.#repeat(loadReportIntervalMilliseconds, () => { this.#reportLoads() })
    this.#repeat(pruneIntervalMilliseconds, () => { this.#allowanceSplit.prune(Date.now()) })
  }

  async close (): Promise<void> {
    // Holders register their permits with the new owners once the instance list shows this scheduler as leaving.
    const deadline = Date.now() + drainTimeoutMilliseconds
    while (this.#permits.loads().some(load => load.online + load.batch > 0) && Date.now() < deadline) {
      await sleep(tickIntervalMilliseconds)
    }
    this.#timers.forEach(timer => { clearInterval(timer) })
    this.#externalLoad.close()
    this.#ledgerBackup.flush()
    this.#ledgerBackup.close()
    await this.#linkServer?.close()
    await this.#healthServer?.close()
    await this.#daemon.close()
    await this.#engine.close()
  }

  #repeat (milliseconds: number, task: () => void): void {
    this.#timers.push(setInterval(task, milliseconds))
  }

  #readiness (): Readiness {
    const ready = this.#daemon.caughtUp
    return { ready, reason: ready ? 'ready' : 'waits for the log or the instance list' }
  }

  #linkOf (member: string): Link | null {
    return this.#linkServer?.links.get(member) ?? null
  }

  #onLink (link: Link): void {
    link.onMessage(message => { this.#onMessage(link, message) })
    link.onClose(() => { this.#onLinkClose(link.peer) })
    this.#daemon.gossip.addLink(link)
    link.send({ type: MessageType.LoadReport, targets: this.#permits.loads() })
  }

  #onLinkClose (holder: string): void {
    if (this.#linkOf(holder) !== null) {
      return
    }
    this.#permits.dropWaiting(holder)
    const timer = setTimeout(() => {
      if (this.#linkOf(holder) === null) {
        this.#permits.freeOtherPermits(holder, new Set())
      }
    }, reconnectGraceMilliseconds)
    timer.unref()
  }

  #onMessage (link: Link, message: LinkMessage): void {
    switch (message.type) {
      case MessageType.PermitRequest:
        this.#permits.request(link, message)
        break
      case MessageType.PermitReturn:
        this.#permits.release(message)
        break
      case MessageType.LedgerReport:
        this.#ledgerBackup.add(link, message.records)
        break
      case MessageType.PermitWithdraw:
        this.#permits.withdraw(message)
        break
      case MessageType.PermitRegister:
        this.#permits.register(link.peer, message)
        break
      case MessageType.LimitDemand:
        this.#onDemand(link, message)
        break
      default:
        // The gossip listens to the same link and handles configuration messages.
    }
  }

  #onDemand (link: Link, message: LimitDemand): void {
    const entries = this.#daemon.membership.live(MemberKind.Entry).length
    const now = Date.now()
    const shares = message.clients.map(demand => this.#allowanceSplit.update(link.peer, demand, entries, now))
    link.send({ type: MessageType.LimitShare, shares })
  }

  #reportLoads (): void {
    const targets = this.#permits.loads()
    const report = JSON.stringify(targets)
    const isDue = Date.now() - this.#reportedAt >= unchangedLoadReportIntervalMilliseconds
    if (targets.length === 0 || (report === this.#lastReport && !isDue)) {
      return
    }
    this.#lastReport = report
    this.#reportedAt = Date.now()
    for (const link of this.#linkServer?.links.values() ?? []) {
      link.send({ type: MessageType.LoadReport, targets })
    }
  }

  #ownedEngines (): ReadonlyArray<{ readonly target: string, readonly address: string }> {
    const schedulers = this.#daemon.membership.live(MemberKind.Scheduler)
    return this.#daemon.membership.live(MemberKind.Target)
      .filter(member => typeof this.#daemon.configuration.targets.get(member.id)?.model === 'string')
      .filter(member => ownerOf(member.id, schedulers, member.zone)?.id === this.#daemon.identity.member)
      .map(member => ({ target: member.id, address: member.address }))
  }
}
