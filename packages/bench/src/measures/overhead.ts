/** Measures the overhead of the entry compared with direct requests to the engine, in pairs of requests in one run. */
import { MemberKind } from '@arbutusloft/adapters'
import { sample, startCluster } from '@arbutusloft/development'
import type { Cluster } from '@arbutusloft/development'
import { sendChat } from '../util/chat-request.js'
import type { ChatResult } from '../util/chat-request.js'
import { computeDistribution, formatDistribution } from '../util/distribution.js'
import { readProcessUsage } from '@arbutusloft/stand-ins'
import type { Measurement } from './measure.js'

const warmUpPairs = 300
const measuredPairs = 2_000
const answerTokens = 8
const streamingSeconds = 6
const concurrentStreams = 48
const openStreams = 400
const slowAnswerTokens = 200
const millisecondsPerSecond = 1_000
const bytesPerKibibyte = 1_024

const noCosts = { stepMilliseconds: 0, millisecondsPerSequence: 0, millisecondsPerThousandContextTokens: 0, millisecondsPerPrefilledToken: 0 }
const slowCosts = { ...noCosts, stepMilliseconds: 100 }

/** Measures added latency, throughput and memory, each with a newly started cluster. */
export const overheadMeasurement: Measurement = {
  name: 'overhead',
  description: 'added time to first token, streams per second and core, memory for each open stream',
  run: async print => {
    const added = await measureAddedTime(print)
    const throughput = await measureThroughput(print)
    const memory = await measureMemory(print)
    return { added, throughput, memory }
  }
}

/** Measures the time to the first token that the entry adds. */
async function measureAddedTime (print: (line: string) => void): Promise<object> {
  const cluster = await startCluster({ engines: 1, concurrency: 256, engine: { costs: noCosts } })
  try {
    await sendPairs(cluster, warmUpPairs)
    const pairs = await sendPairs(cluster, measuredPairs)
    const direct = computeDistribution(pairs.map(pair => pair.direct))
    const through = computeDistribution(pairs.map(pair => pair.through))
    const differences = pairs.map(pair => pair.through - pair.direct).sort((left, right) => left - right)
    const quantile = (fraction: number): number => differences[Math.floor(differences.length * fraction)] ?? 0
    print(`time to first token, engine called directly: ${formatDistribution(direct)}`)
    print(`time to first token, through the entry:      ${formatDistribution(through)}`)
    print(`added, paired: median ${quantile(0.5).toFixed(2)}, 99th ${quantile(0.99).toFixed(2)} ms; difference of the 99th percentiles ${(through.p99 - direct.p99).toFixed(2)} ms`)
    return { direct, through, addedMedian: quantile(0.5), added99: quantile(0.99) }
  } finally {
    await cluster.close()
  }
}

/** Sends pairs of requests, one directly to the engine and one through the entry; returns their times to the first token. */
async function sendPairs (cluster: Cluster, count: number): Promise<ReadonlyArray<{ readonly direct: number, readonly through: number }>> {
  // Direct requests also go through the cluster's fault proxy, so that the two paths differ by the entry only.
  const engineAddress = cluster.engines[0]?.proxy.address ?? ''
  const entryAddress = cluster.callerAddresses()[0] ?? ''
  const pairs: Array<{ readonly direct: number, readonly through: number }> = []
  for (let index = 0; index < count; index++) {
    // The order alternates, so that neither path always goes second.
    const first = await sendCompleteChat(index % 2 === 0 ? engineAddress : entryAddress, index)
    const second = await sendCompleteChat(index % 2 === 0 ? entryAddress : engineAddress, index)
    const [direct, through] = index % 2 === 0 ? [first, second] : [second, first]
    pairs.push({ direct: direct.timeToFirstToken, through: through.timeToFirstToken })
  }
  return pairs
}

/**
 * Sends a chat request.
 * @throws {Error} if the answer is not complete
 */
async function sendCompleteChat (address: string, index: number): Promise<ChatResult> {
  const result = await sendChat({ address, key: sample.stylist.key, content: `Which slot suits client ${index}?`, maximumTokens: answerTokens })
  if (!result.isComplete) {
    throw new Error(`the answer of ${address} is incomplete: status ${result.status}`)
  }
  return result
}

/** Measures the number of streams that the entry serves per second of processor time. */
async function measureThroughput (print: (line: string) => void): Promise<object> {
  const cluster = await startCluster({ engines: 1, concurrency: 256, engine: { costs: noCosts } })
  try {
    const entry = cluster.processesOfKind(MemberKind.Entry)[0]
    const before = await readProcessUsage(entry?.pid ?? 0)
    const endsAt = Date.now() + streamingSeconds * millisecondsPerSecond
    let streams = 0
    await Promise.all(Array.from({ length: concurrentStreams }, async (_, index) => {
      while (Date.now() < endsAt) {
        await sendCompleteChat(entry?.addresses['caller'] ?? '', index)
        streams += 1
      }
    }))
    const after = await readProcessUsage(entry?.pid ?? 0)
    const processorMilliseconds = after.processorMilliseconds - before.processorMilliseconds
    const perCore = streams / processorMilliseconds * millisecondsPerSecond
    print(`entry: ${streams} streams of ${answerTokens} tokens in ${streamingSeconds} s, ${processorMilliseconds} ms of processor time: ${perCore.toFixed(0)} streams per second and core`)
    return { streams, processorMilliseconds, streamsPerCoreSecond: perCore }
  } finally {
    await cluster.close()
  }
}

/** Measures the resident memory that each open stream adds to the entry. */
async function measureMemory (print: (line: string) => void): Promise<object> {
  const cluster = await startCluster({
    engines: 1,
    concurrency: openStreams * 2,
    engine: { costs: slowCosts, answerTokens: slowAnswerTokens, maximumSequences: openStreams * 2, keyValueCacheTokens: 10_000_000 }
  })
  try {
    const entry = cluster.processesOfKind(MemberKind.Entry)[0]
    const address = entry?.addresses['caller'] ?? ''
    const runStreams = async (count: number): Promise<readonly ChatResult[]> => {
      return await Promise.all(Array.from({ length: count }, async (_, index) => {
        return await sendChat({ address, key: sample.stylist.key, content: `slot ${index}`, maximumTokens: slowAnswerTokens })
      }))
    }
    // The first streams grow the process to its working size, so that this growth is not counted for the measured streams.
    await runStreams(openStreams / 10)
    const before = await readProcessUsage(entry?.pid ?? 0)
    const streams = runStreams(openStreams)
    await new Promise(resolve => { setTimeout(resolve, slowAnswerTokens * slowCosts.stepMilliseconds / 2) })
    const during = await readProcessUsage(entry?.pid ?? 0)
    const residentBytesPerStream = (during.residentBytes - before.residentBytes) / openStreams
    await streams
    print(`entry: ${openStreams} open streams add ${(residentBytesPerStream / bytesPerKibibyte).toFixed(1)} KiB of resident memory each`)
    return { openStreams, residentBytesEach: residentBytesPerStream, residentBytes: during.residentBytes }
  } finally {
    await cluster.close()
  }
}
