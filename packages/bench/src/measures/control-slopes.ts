/** Measures processor time, memory and control traffic of each role with 2, 4, 6 and 8 instances. */
import { sample, sleep, startCluster } from '@arbutusloft/development'
import type { Cluster, RoleProcess } from '@arbutusloft/development'
import { MemberKind } from '@arbutusloft/adapters'
import { sendChat } from '../util/chat-request.js'
import { generateArrivalTimes, runOpenLoop } from '../util/open-loop.js'
import { readProcessUsage } from '@arbutusloft/stand-ins'
import { fitLine, formatLine } from '../util/slope.js'
import type { Point } from '../util/slope.js'
import type { Measurement } from './measure.js'

const instanceCounts = [2, 4, 6, 8] as const
const idleMilliseconds = 6_000
const loadMilliseconds = 6_000
// Lets the cluster settle after its start, so that the work of starting is not measured as idle.
const settleMilliseconds = 2_000
const requestsPerSecond = 60
const answerTokens = 8
const seed = 11
const percent = 100
const bytesPerMebibyte = 1_048_576
const millisecondsPerSecond = 1_000

/** Means over the processes of a role; the fields are keys of the report. */
interface RoleUsage {
  /** Processor time, in percent of a core. */
  readonly processor: number
  readonly residentBytes: number
  /** Bytes per second on links between processes, in both directions. */
  readonly linkBytes: number
  /** Messages per second on links between processes, in both directions. */
  readonly linkMessages: number
}

type UsageByRole = ReadonlyMap<MemberKind, RoleUsage>

const roles = [MemberKind.Entry, MemberKind.Scheduler, MemberKind.Batch] as const

/** Measures each number of instances idle and under load, and fits lines over the numbers of instances. */
export const controlSlopesMeasurement: Measurement = {
  name: 'control-slopes',
  description: 'processor, memory and link bytes of each role, idle and under load, with 2, 4, 6 and 8 instances',
  run: async print => {
    const idle: Array<{ readonly size: number, readonly usage: UsageByRole }> = []
    const loaded: typeof idle = []
    for (const instanceCount of instanceCounts) {
      const cluster = await startCluster({
        entries: instanceCount,
        schedulers: instanceCount,
        batches: instanceCount,
        engines: instanceCount,
        concurrency: 16,
        limits: { 'instance-list-milliseconds': 500, 'address-milliseconds': 10_000, 'owner-milliseconds': 8_000 }
      })
      try {
        await sleep(settleMilliseconds)
        idle.push({ size: instanceCount, usage: await measureDuring(cluster, async () => { await sleep(idleMilliseconds) }) })
        loaded.push({ size: instanceCount, usage: await measureDuring(cluster, async () => { await runOnlineLoad(cluster) }) })
      } finally {
        await cluster.close()
      }
    }
    printSlopes(print, 'idle', idle)
    printSlopes(print, `at ${requestsPerSecond} requests a second in all`, loaded)
    return { idle: idle.map(toReport), loaded: loaded.map(toReport) }
  }
}

/** Sends online requests to the entries in turn. */
async function runOnlineLoad (cluster: Cluster): Promise<void> {
  const addresses = cluster.callerAddresses()
  const times = generateArrivalTimes(seed, loadMilliseconds, () => requestsPerSecond)
  await runOpenLoop(times, async index => {
    const address = addresses[index % addresses.length] ?? ''
    await sendChat({ address, key: sample.stylist.key, content: `slot ${index}`, maximumTokens: answerTokens })
  })
}

/** Runs an action and returns the usage of each role while it ran. */
async function measureDuring (cluster: Cluster, action: () => Promise<void>): Promise<UsageByRole> {
  const before = await Promise.all(cluster.processes.map(takeSnapshot))
  const startedAt = Date.now()
  await action()
  const seconds = (Date.now() - startedAt) / millisecondsPerSecond
  const after = await Promise.all(cluster.processes.map(takeSnapshot))
  const usage = new Map<MemberKind, RoleUsage>()
  for (const kind of roles) {
    const indexes = cluster.processes.flatMap((candidate, index) => candidate.kind === kind ? [index] : [])
    const mean = (pick: (index: number) => number): number => indexes.reduce((sum, index) => sum + pick(index), 0) / indexes.length
    const rate = (pick: (snapshot: ProcessSnapshot) => number): number => mean(index => {
      const [first, last] = [before[index], after[index]]
      return first === undefined || last === undefined ? 0 : (pick(last) - pick(first)) / seconds
    })
    usage.set(kind, {
      processor: rate(snapshot => snapshot.processorMilliseconds) / millisecondsPerSecond * percent,
      residentBytes: mean(index => after[index]?.residentBytes ?? 0),
      linkBytes: rate(snapshot => snapshot.linkBytes),
      linkMessages: rate(snapshot => snapshot.linkMessages)
    })
  }
  return usage
}

/** Counters of a process at one time; the link counters are totals since its start. */
interface ProcessSnapshot {
  readonly processorMilliseconds: number
  readonly residentBytes: number
  readonly linkBytes: number
  readonly linkMessages: number
}

/** Reads the processor time and memory of a process, and the link counters from its metrics. */
async function takeSnapshot (roleProcess: RoleProcess): Promise<ProcessSnapshot> {
  const metrics = await (await fetch(`http://${roleProcess.addresses['health'] ?? ''}/metrics`)).text()
  const sum = (name: string): number => {
    const lines = metrics.split('\n').filter(line => line.startsWith(`${name}{`))
    return lines.reduce((total, line) => total + Number(line.split(' ').at(-1)), 0)
  }
  return {
    ...await readProcessUsage(roleProcess.pid),
    linkBytes: sum('arbutus_link_bytes_total'),
    linkMessages: sum('arbutus_link_messages_total')
  }
}

function printSlopes (print: (line: string) => void, state: string, runs: ReadonlyArray<{ readonly size: number, readonly usage: UsageByRole }>): void {
  for (const kind of roles) {
    const points = (pick: (usage: RoleUsage) => number): readonly Point[] => runs.map(({ size, usage }) => {
      const role = usage.get(kind)
      return { size, value: role === undefined ? 0 : pick(role) }
    })
    print(formatLine(`${kind} ${state}, percent of a core by instances`, '%', fitLine(points(usage => usage.processor))))
    print(formatLine(`${kind} ${state}, MiB resident by instances`, 'MiB', fitLine(points(usage => usage.residentBytes / bytesPerMebibyte))))
    print(formatLine(`${kind} ${state}, link bytes a second by instances`, 'B/s', fitLine(points(usage => usage.linkBytes))))
    print(formatLine(`${kind} ${state}, link messages a second by instances`, '/s', fitLine(points(usage => usage.linkMessages))))
  }
}

function toReport (run: { readonly size: number, readonly usage: UsageByRole }): object {
  return { size: run.size, ...Object.fromEntries(run.usage) }
}
