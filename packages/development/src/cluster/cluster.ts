/** Cluster of real system processes on loopback, with stand-ins for the platform in this process. For tests and measurements. */
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
import { sample, createSamplePlans, createSampleUsage } from '../sample-lists.js'
import type { SampleTarget } from '../sample-lists.js'
import { formatSettings } from '../format-settings.js'
import { waitUntil } from './wait-until.js'

/** Options of {@link startCluster}. */
export interface ClusterOptions {
  /** Number of entry processes; 1 by default. */
  readonly entries?: number
  /** Number of scheduler processes; 1 by default. */
  readonly schedulers?: number
  /** Number of batch processes; 1 by default. */
  readonly batches?: number
  /** Number of engine stand-ins; 2 by default. */
  readonly engines?: number
  /** Concurrency of each engine's target in the usage list; 8 by default. */
  readonly concurrency?: number
  /** Options of every engine stand-in. */
  readonly engine?: Partial<EngineOptions>
  /** Options of the log stand-in. */
  readonly log?: LogStandInOptions
  /** Settings of the section [limits], added to those for tests. */
  readonly limits?: Readonly<Record<string, number>>
}

/** An engine stand-in, the fault proxy through which the system reaches it, and a setter for its state in the instance list. */
export interface ClusterEngine {
  readonly name: string
  readonly standIn: EngineStandIn
  readonly proxy: FaultProxy
  setState: (state: MemberState) => void
}

const packagesDirectory = fileURLToPath(new URL('../../../../', import.meta.url))
const zones = ['a', 'b', 'c'] as const
const serviceConcurrency = 32

/** Shorter than the defaults, so that drains and takeovers in tests end soon. */
const testLimits: Readonly<Record<string, number>> = {
  'instance-list-milliseconds': 50,
  'address-milliseconds': 300,
  'owner-milliseconds': 1_500,
  'silence-milliseconds': 1_000
}

/** Starts the stand-ins and the processes, and publishes the sample lists. */
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

/** A running cluster. {@link Cluster.close} ends everything that it started. */
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
    return requireStarted(this.#log, 'the log stand-in')
  }

  get instanceList (): InstanceListStandIn {
    return requireStarted(this.#instanceList, 'the instance list stand-in')
  }

  get service (): PlainServiceStandIn {
    return requireStarted(this.#service, 'the service stand-in')
  }

  get serviceProxy (): FaultProxy {
    return requireStarted(this.#serviceProxy, 'the fault proxy of the service')
  }

  /** Temporary directory of the settings files. */
  get directory (): string {
    return this.#directory
  }

  /** Settings of the section [limits] of every process. */
  get limits (): Readonly<Record<string, number>> {
    return { ...testLimits, ...this.options.limits }
  }

  /** Returns the processes of a kind, running or not. */
  processesOfKind (kind: MemberKind): readonly RoleProcess[] {
    return this.processes.filter(roleProcess => roleProcess.kind === kind)
  }

  /** Returns the caller addresses of the running entries. */
  callerAddresses (): readonly string[] {
    return this.processesOfKind(MemberKind.Entry)
      .filter(entry => entry.running)
      .map(entry => entry.addresses['caller'] ?? '')
  }

  /** Returns the operator address of a running entry, by its index among them. */
  operatorAddress (index = 0): string {
    return this.processesOfKind(MemberKind.Entry).filter(entry => entry.running)[index]?.addresses['operator'] ?? ''
  }

  async start (): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), 'arbutus-test-'))
    this.#log = await startLogStandIn({ appendsPerSecond: 400, ...this.options.log })
    this.#instanceList = await startInstanceListStandIn()
    await this.#startTargets()
    await this.#startAll(MemberKind.Scheduler, this.options.schedulers ?? 1)
    await this.#startAll(MemberKind.Entry, this.options.entries ?? 1)
    await this.#startAll(MemberKind.Batch, this.options.batches ?? 1)
    await Promise.all(this.processes.map(async roleProcess => { await roleProcess.waitUntilReady() }))
    await publishLists(this.operatorAddress(), sample.operator.key, { plans: createSamplePlans(), usage: this.usageList() })
    await waitUntil('every entry knows the lists', async () => {
      const responses = await Promise.all(this.callerAddresses().map(async address => {
        return await fetch(`http://${address}/v1/models`, { headers: { authorization: `Bearer ${sample.stylist.key}` } })
      }))
      await Promise.all(responses.map(async response => await response.text()))
      return responses.every(response => response.ok)
    })
  }

  /** Returns the sample usage list with this cluster's targets. */
  usageList (): string {
    const targets: SampleTarget[] = this.engines.map(engine => {
      return { name: engine.name, model: sample.model, concurrency: this.options.concurrency ?? 8 }
    })
    targets.push({ name: 'service-1', service: sample.confirmationService, concurrency: serviceConcurrency })
    targets.push({ name: 'service-2', service: sample.catalogueService, concurrency: serviceConcurrency })
    return createSampleUsage(targets)
  }

  async close (): Promise<void> {
    await Promise.all(this.processes.map(async roleProcess => { await roleProcess.destroy() }))
    await Promise.all(this.engines.map(async ({ standIn, proxy }) => {
      await proxy.close()
      await standIn.close()
    }))
    await this.#serviceProxy?.close()
    await this.#service?.close()
    await this.#instanceList?.close()
    await this.#log?.close()
    await rm(this.#directory, { recursive: true, force: true })
  }

  async #startTargets (): Promise<void> {
    for (let index = 0; index < (this.options.engines ?? 2); index++) {
      const standIn = await startEngineStandIn({ model: sample.model, ...this.options.engine })
      const proxy = await startFaultProxy({ target: standIn.address })
      const name = `target-${index + 1}`
      const member = { id: name, kind: MemberKind.Target, address: proxy.address, zone: zoneOf(index) }
      const setState = (state: MemberState): void => { this.instanceList.put({ ...member, state }) }
      setState(MemberState.Live)
      this.engines.push({ name, standIn, proxy, setState })
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
    await Promise.all(started.map(async roleProcess => { await roleProcess.start() }))
  }
}

/** One process of the system, run as the platform's supervisor would run it. It keeps its member name over restarts. */
export class RoleProcess {
  /** Name in the instance list. */
  readonly memberName: string
  readonly #instance: string
  readonly #zone: string
  #process: SupervisedProcess | null = null
  #restarting: Promise<boolean> | null = null
  #logProxy: FaultProxy | null = null
  /** Addresses on which it listens, by their names in the settings; a restart changes them. */
  addresses: ReportedAddresses = {}

  constructor (private readonly cluster: Cluster, readonly kind: MemberKind, index: number) {
    this.#instance = `i${index + 1}`
    this.#zone = zoneOf(index)
    this.memberName = memberNameOf(this.#instance, kind)
  }

  get running (): boolean {
    return this.#process?.running === true
  }

  get pid (): number {
    return this.#process?.pid ?? 0
  }

  /** Last lines that the process wrote to its log output. */
  get logLines (): readonly string[] {
    return this.#process?.logLines ?? []
  }

  /** Fault proxy between the process and the log. */
  get logProxy (): FaultProxy {
    return requireStarted(this.#logProxy, `the fault proxy between ${this.memberName} and the log`)
  }

  /** Starts the process and adds it to the instance list; after {@link RoleProcess.kill}, as a new incarnation. */
  async start (): Promise<void> {
    this.#logProxy ??= await startFaultProxy({ target: this.cluster.log.address })
    const path = join(this.cluster.directory, `${this.memberName}.ini`)
    await writeFile(path, this.#settings())
    const program = join(packagesDirectory, this.kind, 'dist', 'src', 'bin', `arbutus-${this.kind}.js`)
    this.#process = new SupervisedProcess(this.memberName, program, { arguments: [path] })
    this.addresses = await this.#process.started()
    this.#putInInstanceList(MemberState.Live)
  }

  /** Waits until the process reports that it is ready. */
  async waitUntilReady (): Promise<void> {
    await waitUntil(`${this.memberName} is ready`, async () => await this.#isReady())
  }

  signal (signal: NodeJS.Signals): void {
    this.#process?.signal(signal)
  }

  /** Kills the process and removes it from the instance list, as when its instance is lost. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.#process?.exited
    this.cluster.instanceList.remove(this.memberName)
  }

  /**
   * Starts the process unless it is running, and waits until it is ready. Overlapping restarts share one start.
   * Resolves with false if a signal ended the process meanwhile, such as {@link RoleProcess.kill} by a concurrent fault.
   * @throws {StartEndedError} if the process ended by itself.
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
    await waitUntil(`${this.memberName} is ready or has ended`, async () => process?.running !== true || await this.#isReady())
    return process?.running === true
  }

  async #isReady (): Promise<boolean> {
    const response = await fetch(`http://${this.addresses['health'] ?? ''}/readyz`)
    await response.text()
    return response.ok
  }

  /** Marks the process as leaving in the instance list, sends SIGTERM and waits for its end. Resolves with the exit code. */
  async drain (): Promise<number | null> {
    this.#putInInstanceList(MemberState.Leaving)
    this.signal('SIGTERM')
    const code = await requireStarted(this.#process, this.memberName).exited
    this.cluster.instanceList.remove(this.memberName)
    return code
  }

  /** Ends the process in whatever state it is, also when paused by SIGSTOP. */
  async destroy (): Promise<void> {
    if (this.running) {
      this.signal('SIGCONT')
      this.signal('SIGKILL')
      await this.#process?.exited
    }
    await this.#logProxy?.close()
  }

  #settings (): string {
    const anyPort = '127.0.0.1:0'
    const listen: Readonly<Record<string, Readonly<Record<string, string>>>> = {
      [MemberKind.Entry]: { caller: anyPort, operator: anyPort, health: anyPort },
      [MemberKind.Scheduler]: { link: anyPort, health: anyPort },
      [MemberKind.Batch]: { health: anyPort }
    }
    return formatSettings({
      instance: this.#instance,
      zone: this.#zone,
      log: this.logProxy.address,
      instanceList: this.cluster.instanceList.address,
      listen: listen[this.kind] ?? {},
      secret: sample.linkSecret,
      operators: { [sample.operator.name]: sample.operator.key },
      limits: this.cluster.limits
    })
  }

  #putInInstanceList (state: MemberState): void {
    const address = this.addresses['link'] ?? this.addresses['caller'] ?? this.addresses['health'] ?? ''
    const member: Member = { id: this.memberName, kind: this.kind, address, zone: this.#zone, state }
    this.cluster.instanceList.put(member)
  }
}

function zoneOf (index: number): string {
  return zones[index % zones.length] ?? zones[0]
}

function requireStarted<T> (value: T | null, name: string): T {
  if (value === null) {
    throw new Error(`${name} has not been started`)
  }
  return value
}
