/** Real processes of the system on loopback, beside stand-ins in this process. For tests and measurements. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { memberNameOf } from '@arbutusloft/daemon'
import { MemberKind, MemberState } from '@arbutusloft/adapters'
import type { Member } from '@arbutusloft/adapters'
import {
  isStartEndedError,
  startEngineStandIn,
  startFaultProxy,
  startInstanceListStandIn,
  startLogStandIn,
  startPlainServiceStandIn,
  SupervisedProcess
} from '@arbutusloft/stand-ins'
import type {
  EngineOptions,
  EngineStandIn,
  FaultProxy,
  InstanceListStandIn,
  LogStandIn,
  LogStandInOptions,
  PlainServiceStandIn,
  ReportedAddresses
} from '@arbutusloft/stand-ins'
import { publishLists } from '../publish-lists.js'
import { sample, samplePlans, sampleUsage } from '../sample-lists.js'
import type { SampleTarget } from '../sample-lists.js'
import { settingsText } from '../settings-text.js'
import { until } from './until.js'

/** Options of {@link startCluster}. */
export interface ClusterOptions {
  readonly entries?: number
  readonly schedulers?: number
  readonly batches?: number
  readonly engines?: number
  readonly concurrency?: number
  readonly engine?: Partial<EngineOptions>
  readonly log?: LogStandInOptions
  readonly limits?: Readonly<Record<string, number>>
}

/** An engine behind a proxy. */
export interface ClusterEngine {
  readonly name: string
  readonly engine: EngineStandIn
  readonly proxy: FaultProxy
  setState: (state: MemberState) => void
}

const packagesDirectory = fileURLToPath(new URL('../../../../', import.meta.url))
const zones = ['a', 'b', 'c'] as const
const serviceConcurrency = 32

const testLimits: Readonly<Record<string, number>> = {
  'instance-list-milliseconds': 50,
  'address-milliseconds': 300,
  'owner-milliseconds': 1_500,
  'silence-milliseconds': 1_000
}

/** Starts stand-ins and processes and publishes the sample lists. */
export async function startCluster (options: ClusterOptions = {}): Promise<Cluster> {
  const cluster = new Cluster(options)
  try {
    await cluster.start()
    return cluster
  } catch (error) {
    await cluster.close()
    throw error
  }
}

/** A running cluster. Everything it started ends with {@link Cluster.close}. */
export class Cluster {
  readonly processes: RoleProcess[] = []
  readonly engines: ClusterEngine[] = []
  #log: LogStandIn | null = null
  #instanceList: InstanceListStandIn | null = null
  #service: PlainServiceStandIn | null = null
  #serviceProxy: FaultProxy | null = null
  #directory = ''

  constructor (private readonly options: ClusterOptions) {}

  get log (): LogStandIn {
    return present(this.#log)
  }

  get instanceList (): InstanceListStandIn {
    return present(this.#instanceList)
  }

  get service (): PlainServiceStandIn {
    return present(this.#service)
  }

  get serviceProxy (): FaultProxy {
    return present(this.#serviceProxy)
  }

  get directory (): string {
    return this.#directory
  }

  get limits (): Readonly<Record<string, number>> {
    return { ...testLimits, ...this.options.limits }
  }

  /** Processes of a kind. */
  of (kind: MemberKind): readonly RoleProcess[] {
    return this.processes.filter(candidate => candidate.kind === kind)
  }

  /** Addresses of running entries for callers. */
  callerAddresses (): readonly string[] {
    return this.of(MemberKind.Entry)
      .filter(entry => entry.running)
      .map(entry => entry.addresses['caller'] ?? '')
  }

  /** Address of a running entry for operators. */
  operatorAddress (index = 0): string {
    return this.of(MemberKind.Entry).filter(entry => entry.running)[index]?.addresses['operator'] ?? ''
  }

  async start (): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), 'arbutus-test-'))
    this.#log = await startLogStandIn({ appendsPerSecond: 400, ...this.options.log })
    this.#instanceList = await startInstanceListStandIn()
    await this.#startTargets()
    await this.#startAll(MemberKind.Scheduler, this.options.schedulers ?? 1)
    await this.#startAll(MemberKind.Entry, this.options.entries ?? 1)
    await this.#startAll(MemberKind.Batch, this.options.batches ?? 1)
    await Promise.all(this.processes.map(async candidate => { await candidate.ready() }))
    await publishLists(this.operatorAddress(), sample.operator.key, { plans: samplePlans(), usage: this.usage() })
    await until('every entry knows the lists', async () => {
      const answers = await Promise.all(this.callerAddresses().map(async address => {
        return await fetch(`http://${address}/v1/models`, { headers: { authorization: `Bearer ${sample.stylist.key}` } })
      }))
      await Promise.all(answers.map(async answer => await answer.text()))
      return answers.every(answer => answer.ok)
    })
  }

  /** The usage list of the sample deployment on this cluster's targets. */
  usage (): string {
    const targets: SampleTarget[] = this.engines.map(engine => {
      return { name: engine.name, model: sample.model, concurrency: this.options.concurrency ?? 8 }
    })
    targets.push({ name: 'service-1', service: sample.service, concurrency: serviceConcurrency })
    targets.push({ name: 'service-2', service: sample.lookupService, concurrency: serviceConcurrency })
    return sampleUsage(targets)
  }

  async close (): Promise<void> {
    await Promise.all(this.processes.map(async candidate => { await candidate.destroy() }))
    await Promise.all(this.engines.map(async ({ engine, proxy }) => {
      await proxy.close()
      await engine.close()
    }))
    await this.#serviceProxy?.close()
    await this.#service?.close()
    await this.#instanceList?.close()
    await this.#log?.close()
    await rm(this.#directory, { recursive: true, force: true })
  }

  async #startTargets (): Promise<void> {
    for (let index = 0; index < (this.options.engines ?? 2); index++) {
      const engine = await startEngineStandIn({ model: sample.model, ...this.options.engine })
      const proxy = await startFaultProxy({ target: engine.address })
      const name = `target-${index + 1}`
      const member = { id: name, kind: MemberKind.Target, address: proxy.address, zone: zoneOf(index) }
      const setState = (state: MemberState): void => { this.instanceList.put({ ...member, state }) }
      setState(MemberState.Live)
      this.engines.push({ name, engine, proxy, setState })
    }
    this.#service = await startPlainServiceStandIn()
    this.#serviceProxy = await startFaultProxy({ target: this.service.address })
    for (const id of ['service-1', 'service-2']) {
      this.instanceList.put({ id, kind: MemberKind.Target, address: this.serviceProxy.address, zone: zoneOf(0), state: MemberState.Live })
    }
  }

  async #startAll (kind: MemberKind, count: number): Promise<void> {
    const started = Array.from({ length: count }, (_, index) => new RoleProcess(this, kind, index))
    this.processes.push(...started)
    await Promise.all(started.map(async candidate => { await candidate.start() }))
  }
}

/** One process of the system, started as the platform's supervisor would. */
export class RoleProcess {
  readonly member: string
  readonly #instance: string
  readonly #zone: string
  #process: SupervisedProcess | null = null
  #restarting: Promise<boolean> | null = null
  #logLink: FaultProxy | null = null
  /** Addresses on which it listens now. */
  addresses: ReportedAddresses = {}

  constructor (private readonly cluster: Cluster, readonly kind: MemberKind, index: number) {
    this.#instance = `i${index + 1}`
    this.#zone = zoneOf(index)
    this.member = memberNameOf(this.#instance, kind)
  }

  get running (): boolean {
    return this.#process?.running === true
  }

  get pid (): number {
    return this.#process?.pid ?? 0
  }

  /** The last lines of its log. */
  get lines (): readonly string[] {
    return this.#process?.lines ?? []
  }

  /** Proxy between the process and the log. */
  get logLink (): FaultProxy {
    return present(this.#logLink)
  }

  /** Starts it, after {@link RoleProcess.kill} as a new incarnation. */
  async start (): Promise<void> {
    this.#logLink ??= await startFaultProxy({ target: this.cluster.log.address })
    const path = join(this.cluster.directory, `${this.member}.ini`)
    await writeFile(path, this.#settings())
    const program = join(packagesDirectory, this.kind, 'dist', 'src', 'bin', `arbutus-${this.kind}.js`)
    this.#process = new SupervisedProcess(this.member, program, { arguments: [path] })
    this.addresses = await this.#process.started()
    this.#announce(MemberState.Live)
  }

  /** Waits until it says that it is ready. */
  async ready (): Promise<void> {
    await until(`${this.member} is ready`, async () => await this.#isReady())
  }

  signal (signal: NodeJS.Signals): void {
    this.#process?.signal(signal)
  }

  /** Kills it as a lost instance; the instance list drops it. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.#process?.exited
    this.cluster.instanceList.remove(this.member)
  }

  /**
   * Starts it unless it runs, and waits until it is ready. Restarts that overlap share one start.
   * Resolves with false if a signal, such as another fault's {@link RoleProcess.kill}, ended it meanwhile.
   * @throws {StartEndedError} if it ended by itself.
   */
  async restart (): Promise<boolean> {
    this.#restarting ??= this.#startUntilReady().finally(() => { this.#restarting = null })
    return await this.#restarting
  }

  async #startUntilReady (): Promise<boolean> {
    try {
      if (!this.running) {
        await this.start()
      }
    } catch (error) {
      if (isStartEndedError(error) && error.signal !== null) {
        return false
      }
      throw error
    }
    const process = this.#process
    await until(`${this.member} is ready or has ended`, async () => process?.running !== true || await this.#isReady())
    return process?.running === true
  }

  async #isReady (): Promise<boolean> {
    const response = await fetch(`http://${this.addresses['health'] ?? ''}/readyz`)
    await response.text()
    return response.ok
  }

  /** Marks it as leaving, sends SIGTERM and waits for its end; resolves with the exit code. */
  async leave (): Promise<number | null> {
    this.#announce(MemberState.Leaving)
    this.signal('SIGTERM')
    const code = await present(this.#process).exited
    this.cluster.instanceList.remove(this.member)
    return code
  }

  /** Ends it whatever state it is in. */
  async destroy (): Promise<void> {
    if (this.running) {
      this.signal('SIGCONT')
      this.signal('SIGKILL')
      await this.#process?.exited
    }
    await this.#logLink?.close()
  }

  #settings (): string {
    const anyPort = '127.0.0.1:0'
    const listen: Readonly<Record<string, Readonly<Record<string, string>>>> = {
      [MemberKind.Entry]: { caller: anyPort, operator: anyPort, health: anyPort },
      [MemberKind.Scheduler]: { link: anyPort, health: anyPort },
      [MemberKind.Batch]: { health: anyPort }
    }
    return settingsText({
      instance: this.#instance,
      zone: this.#zone,
      log: this.logLink.address,
      instanceList: this.cluster.instanceList.address,
      listen: listen[this.kind] ?? {},
      secret: sample.linkSecret,
      operators: { [sample.operator.name]: sample.operator.key },
      limits: this.cluster.limits
    })
  }

  #announce (state: MemberState): void {
    const address = this.addresses['link'] ?? this.addresses['caller'] ?? this.addresses['health'] ?? ''
    const member: Member = { id: this.member, kind: this.kind, address, zone: this.#zone, state }
    this.cluster.instanceList.put(member)
  }
}

function zoneOf (index: number): string {
  return zones[index % zones.length] ?? zones[0]
}

function present<T> (value: T | null): T {
  if (value === null) {
    throw new Error('the cluster has not started')
  }
  return value
}
