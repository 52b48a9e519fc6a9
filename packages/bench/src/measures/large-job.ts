/** Measures the latency of online requests during the first 15 s from the start of the submission of a job of 250,000 items. */
import { MemberKind } from '@arbutusloft/adapters'
import { sample, startCluster } from '@arbutusloft/development'
import type { Cluster } from '@arbutusloft/development'
import { sendChat } from '../util/chat-request.js'
import type { ChatResult } from '../util/chat-request.js'
import { computeDistribution, formatDistribution } from '../util/distribution.js'
import { generateArrivalTimes, runOpenLoop } from '../util/open-loop.js'
import { readProcessUsage } from '@arbutusloft/stand-ins'
import type { Measurement } from './measure.js'

const itemCount = 250_000
const onlineMilliseconds = 15_000
const onlineRequestsPerSecond = 40
const onlineTokens = 16
const batchTokens = 16
const engineCount = 4
const seed = 7
const bytesPerMebibyte = 1_048_576
const endpoint = '/v1/chat/completions'

/** Compares online latency without batch work and during the job. */
export const largeJobMeasurement: Measurement = {
  name: 'large-job',
  description: `a job of ${itemCount.toLocaleString('en')} items submitted while online requests are sent`,
  run: async print => {
    const cluster = await startCluster({ engines: engineCount, entries: 2, schedulers: 2, batches: 1, concurrency: 16 })
    try {
      const alone = await measureOnlineLoad(cluster)
      print(`online alone:      time to first token ${formatDistribution(alone)}`)
      const submission = submitJob(cluster)
      const beside = await measureOnlineLoad(cluster)
      const accepted = await submission
      print(`online during job: time to first token ${formatDistribution(beside)}`)
      print(`99th percentile during the job: ${(beside.p99 / alone.p99).toFixed(2)} times that alone`)
      print(`accepted after ${(accepted.milliseconds / 1_000).toFixed(1)} s; ${accepted.bytes} bytes of input`)
      const memory = await measureMemory(cluster)
      for (const [member, bytes] of Object.entries(memory)) {
        print(`${member}: ${(bytes / bytesPerMebibyte).toFixed(0)} MiB resident`)
      }
      return { alone, beside, accepted, memory }
    } finally {
      await cluster.close()
    }
  }
}

/**
 * Sends online requests and returns the distribution of their times to the first token.
 * @throws {Error} if a request is not answered completely
 */
async function measureOnlineLoad (cluster: Cluster): Promise<ReturnType<typeof computeDistribution>> {
  const addresses = cluster.callerAddresses()
  const times = generateArrivalTimes(seed, onlineMilliseconds, () => onlineRequestsPerSecond)
  const answers = await runOpenLoop(times, async (index, latenessMilliseconds): Promise<ChatResult> => {
    const chat = await sendChat({
      address: addresses[index % addresses.length] ?? '',
      key: sample.stylist.key,
      content: `Which slot suits client ${index}?`,
      maximumTokens: onlineTokens
    })
    return { ...chat, timeToFirstToken: chat.timeToFirstToken + latenessMilliseconds }
  })
  const incomplete = answers.filter(answer => !answer.isComplete).length
  if (incomplete > 0) {
    throw new Error(`${incomplete} of ${answers.length} online requests were not answered completely`)
  }
  return computeDistribution(answers.map(answer => answer.timeToFirstToken))
}

/**
 * Submits the job and returns the time until it was accepted, and the length of its input.
 * @throws {Error} if the job is not accepted with all items, for example because its input file was rejected
 */
async function submitJob (cluster: Cluster): Promise<{ readonly milliseconds: number, readonly bytes: number }> {
  const line = (index: number): string => JSON.stringify({
    custom_id: `text-${index}`,
    method: 'POST',
    url: endpoint,
    body: { model: sample.model, max_tokens: batchTokens, messages: [{ role: 'user', content: `dedication ${index}` }] }
  })
  const input = Array.from({ length: itemCount }, (_, index) => line(index)).join('\n')
  const startedAt = performance.now()
  const headers = { authorization: `Bearer ${sample.bakery.key}` }
  const address = cluster.callerAddresses()[0] ?? ''
  const form = new FormData()
  form.set('purpose', 'batch')
  form.set('file', new Blob([input]), 'large.jsonl')
  const file = await (await fetch(`http://${address}/v1/files`, { method: 'POST', headers, body: form })).json() as { readonly id?: string }
  const response = await fetch(`http://${address}/v1/batches`, {
    method: 'POST',
    headers: { ...headers, 'content-type': 'application/json' },
    body: JSON.stringify({ input_file_id: file.id, endpoint, completion_window: '24h' })
  })
  const batch = await response.json() as { readonly request_counts?: { readonly total: number } }
  if (batch.request_counts?.total !== itemCount) {
    throw new Error(`entry ${address} answered status ${response.status} instead of accepting ${itemCount} items of file ${file.id}: ${JSON.stringify(batch)}`)
  }
  return { milliseconds: performance.now() - startedAt, bytes: input.length }
}

/** Returns the resident bytes of each process by its member name. */
async function measureMemory (cluster: Cluster): Promise<Readonly<Record<string, number>>> {
  const processes = [MemberKind.Entry, MemberKind.Scheduler, MemberKind.Batch].flatMap(kind => cluster.processesOfKind(kind))
  const usages = await Promise.all(processes.map(async roleProcess => [roleProcess.memberName, (await readProcessUsage(roleProcess.pid)).residentBytes] as const))
  return Object.fromEntries(usages)
}
