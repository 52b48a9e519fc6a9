/** Embedded system: all roles, and stand-ins for the platform, in this process. */
import { startBatch } from '@arbutusloft/batch'
import { loadSettings } from '@arbutusloft/configuration'
import type { Settings } from '@arbutusloft/configuration'
import { createLogger, memberNameOf, sleep } from '@arbutusloft/daemon'
import type { Logger, RunningRole } from '@arbutusloft/daemon'
import { startEntry } from '@arbutusloft/entry'
import type { Entry } from '@arbutusloft/entry'
import { MemberKind, MemberState } from '@arbutusloft/adapters'
import { startScheduler } from '@arbutusloft/scheduler'
import {
  startEngineStandIn,
  startInstanceListStandIn,
  startLogStandIn,
  startPlainServiceStandIn
} from '@arbutusloft/stand-ins'
import type { EngineOptions, EngineStandIn, InstanceListStandIn, LogStandIn, PlainServiceStandIn, StandIn } from '@arbutusloft/stand-ins'
import { publishLists } from './publish-lists.js'
import { sample, createSamplePlans, createSampleUsage } from './sample-lists.js'
import type { SampleTarget } from './sample-lists.js'
import { formatSettings } from './format-settings.js'

/** Options of {@link startEmbeddedSystem}. */
export interface EmbeddedSystemOptions {
  /** Number of entries; 1 by default. */
  readonly entries?: number
  /** Number of schedulers; 1 by default. */
  readonly schedulers?: number
  /** Number of batch roles; 1 by default. */
  readonly batches?: number
  /** Number of engine stand-ins; 2 by default. */
  readonly engines?: number
  /** Concurrency of each engine's target in the usage list; 16 by default. */
  readonly concurrency?: number
  /** Options of every engine stand-in. */
  readonly engine?: Partial<EngineOptions>
  /** Port of the first entry for callers; 0, the default, takes a free one. */
  readonly callerPort?: number
  /** Port of the first entry for operators; 0, the default, takes a free one. */
  readonly operatorPort?: number
  /** Settings of the section [limits]. */
  readonly limits?: Readonly<Record<string, number>>
  /** Receives the log lines, which are discarded by default. */
  readonly onLogLine?: (line: string) => void
}

/** A running embedded system. */
export interface EmbeddedSystem {
  readonly entries: readonly Entry[]
  /** Caller address of the first entry. */
  readonly callerAddress: string
  /** Operator address of the first entry. */
  readonly operatorAddress: string
  readonly engines: readonly EngineStandIn[]
  readonly service: PlainServiceStandIn
  readonly log: LogStandIn
  readonly instanceList: InstanceListStandIn
  /** Drains the roles and stops everything that was started. */
  close: () => Promise<void>
}

const anyLoopbackPort = '127.0.0.1:0'
const zones = ['a', 'b', 'c'] as const
const confirmationTarget = 'service-1'
const catalogueTarget = 'service-2'
const serviceConcurrency = 32
const instanceListPropagationMilliseconds = 1_000

const defaultOptions = {
  entries: 1,
  schedulers: 1,
  batches: 1,
  engines: 2,
  concurrency: 16,
  callerPort: 0,
  operatorPort: 0
} as const

/** Starts the stand-ins and the roles, and publishes the sample lists. */
export async function startEmbeddedSystem (options: EmbeddedSystemOptions = {}): Promise<EmbeddedSystem> {
  const system = new EmbeddedSystemBuilder(options)
  try {
    return await system.build()
  } catch (error) {
    // Stand-ins and roles that have started would keep the process alive.
    await system.close()
    throw error
  }
}

class EmbeddedSystemBuilder {
  readonly #options
  /** Roles in the order in which they are closed: batch roles, entries, schedulers. */
  readonly #roles: RunningRole[] = []
  readonly #standIns: StandIn[] = []
  readonly #leavingMarkers: Array<() => void> = []

  constructor (options: EmbeddedSystemOptions) {
    this.#options = { ...defaultOptions, ...options }
  }

  async build (): Promise<EmbeddedSystem> {
    const log = this.#track(await startLogStandIn())
    const instanceList = this.#track(await startInstanceListStandIn())
    const service = this.#track(await startPlainServiceStandIn())
    const engines = await this.#startEngines(instanceList)
    for (const id of [confirmationTarget, catalogueTarget]) {
      instanceList.put({ id, kind: MemberKind.Target, address: service.address, zone: zoneOf(0), state: MemberState.Live })
    }
    await this.#startSchedulers(log, instanceList)
    const entries = await this.#startEntries(log, instanceList)
    await this.#startBatches(log, instanceList)
    const [first] = entries
    const callerAddress = first?.callerAddress ?? ''
    const operatorAddress = first?.operatorAddress ?? ''
    await Promise.all(entries.map(async entry => { await entry.ready() }))
    await this.#publish(operatorAddress, engines)
    return {
      entries,
      callerAddress,
      operatorAddress,
      engines,
      service,
      log,
      instanceList,
      close: async () => { await this.close() }
    }
  }

  async #startEngines (instanceList: InstanceListStandIn): Promise<readonly EngineStandIn[]> {
    const engines: EngineStandIn[] = []
    for (let index = 0; index < this.#options.engines; index++) {
      const engine = this.#track(await startEngineStandIn({ model: sample.model, ...this.#options.engine }))
      engines.push(engine)
      instanceList.put({ id: targetName(index), kind: MemberKind.Target, address: engine.address, zone: zoneOf(index), state: MemberState.Live })
    }
    return engines
  }

  async #startSchedulers (log: StandIn, instanceList: InstanceListStandIn): Promise<void> {
    for (let index = 0; index < this.#options.schedulers; index++) {
      const settings = this.#settings(index, log, instanceList, { link: anyLoopbackPort })
      const scheduler = await startScheduler(settings, this.#logger(settings, MemberKind.Scheduler))
      this.#roles.push(scheduler)
      this.#putInInstanceList(instanceList, settings, MemberKind.Scheduler, scheduler.linkAddress)
    }
  }

  async #startEntries (log: StandIn, instanceList: InstanceListStandIn): Promise<readonly Entry[]> {
    const entries: Entry[] = []
    for (let index = 0; index < this.#options.entries; index++) {
      const isFirst = index === 0
      const settings = this.#settings(index, log, instanceList, {
        caller: `127.0.0.1:${isFirst ? this.#options.callerPort : 0}`,
        operator: `127.0.0.1:${isFirst ? this.#options.operatorPort : 0}`
      })
      const entry = await startEntry(settings, this.#logger(settings, MemberKind.Entry))
      this.#roles.unshift(entry)
      entries.push(entry)
      this.#putInInstanceList(instanceList, settings, MemberKind.Entry, entry.callerAddress)
    }
    return entries
  }

  async #startBatches (log: StandIn, instanceList: InstanceListStandIn): Promise<void> {
    for (let index = 0; index < this.#options.batches; index++) {
      const settings = this.#settings(index, log, instanceList, {})
      const batch = await startBatch(settings, this.#logger(settings, MemberKind.Batch))
      this.#roles.unshift(batch)
      // Nothing connects to a batch role, but each member of the instance list needs an address.
      this.#putInInstanceList(instanceList, settings, MemberKind.Batch, anyLoopbackPort)
    }
  }

  async #publish (operatorAddress: string, engines: readonly EngineStandIn[]): Promise<void> {
    const targets: SampleTarget[] = engines.map((_engine, index) => {
      return { name: targetName(index), model: sample.model, concurrency: this.#options.concurrency }
    })
    targets.push({ name: confirmationTarget, service: sample.confirmationService, concurrency: serviceConcurrency })
    targets.push({ name: catalogueTarget, service: sample.catalogueService, concurrency: serviceConcurrency })
    await publishLists(operatorAddress, sample.operator.key, { plans: createSamplePlans(), usage: createSampleUsage(targets) })
  }

  #settings (
    index: number,
    log: StandIn,
    instanceList: StandIn,
    listen: Readonly<Record<string, string>>
  ): Settings {
    return loadSettings(formatSettings({
      instance: `i${index + 1}`,
      zone: zoneOf(index),
      log: log.address,
      instanceList: instanceList.address,
      listen,
      secret: sample.linkSecret,
      operators: { [sample.operator.name]: sample.operator.key },
      limits: this.#options.limits ?? {}
    })).unwrap()
  }

  #logger (settings: Settings, role: MemberKind): Logger {
    const write = this.#options.onLogLine ?? (() => {})
    return createLogger({ fields: { process: role, instance: settings.instance.id }, write })
  }

  #putInInstanceList (instanceList: InstanceListStandIn, settings: Settings, kind: MemberKind, address: string): void {
    const { id, zone } = settings.instance
    const member = { id: memberNameOf(id, kind), kind, address, zone }
    instanceList.put({ ...member, state: MemberState.Live })
    this.#leavingMarkers.push(() => { instanceList.put({ ...member, state: MemberState.Leaving }) })
  }

  #track<T extends StandIn> (standIn: T): T {
    this.#standIns.push(standIn)
    return standIn
  }

  async close (): Promise<void> {
    // A closing entry waits for its callers to move to another live entry. Marking all entries as leaving first avoids that wait.
    this.#leavingMarkers.forEach(markLeaving => { markLeaving() })
    await sleep(instanceListPropagationMilliseconds)
    for (const role of this.#roles) {
      await role.close()
    }
    for (const standIn of this.#standIns) {
      await standIn.close()
    }
  }
}

function targetName (index: number): string {
  return `target-${index + 1}`
}

function zoneOf (index: number): string {
  return zones[index % zones.length] ?? zones[0]
}
