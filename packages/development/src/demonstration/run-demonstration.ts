/**
 * Demonstration that `npm run demo` runs: compares the latency of online requests without and beside a batch,
 * checks that each batch item has exactly one result, and prints the charges.
 */
import type { EmbeddedSystem } from '../embedded-system.js'
import { sample } from '../sample-lists.js'
import { DemonstrationClient } from './demonstration-client.js'
import type { DemonstrationBatch } from './demonstration-client.js'

const batchItemCount = 200
const onlineRequestCount = 120
const onlineIntervalMilliseconds = 40
const onlineTokens = 24
const pollMilliseconds = 100
const chatEndpoint = '/v1/chat/completions'

/** Runs the demonstration and returns its exit code: 1 if a batch item has no result or more than one, 0 otherwise. */
export async function runDemonstration (system: EmbeddedSystem, print: (line: string) => void): Promise<number> {
  const stylist = new DemonstrationClient(system.callerAddress, sample.stylist.key)
  const bakery = new DemonstrationClient(system.callerAddress, sample.bakery.key)
  print(`arbutusloft: 2 entries, 2 schedulers, 2 batch processes, ${system.engines.length} engines, all in this process\n`)

  print('A stylist sends a chat request, and the response streams:')
  let streamedText = ''
  const response = await stylist.chat('When can Mme Roy come in for a fitting?', onlineTokens, text => { streamedText += text })
  print(`  ${streamedText}\n  first token after ${response.timeToFirstTokenMilliseconds.toFixed(1)} ms\n`)

  print(`${onlineRequestCount} online requests without a batch:`)
  const onlineOnly = await runOnlineLoad(stylist)
  print(`  ${describeLatencies(onlineOnly)}\n`)

  print(`The same load beside a batch of ${batchItemCount} dedication texts:`)
  const created = await bakery.createBatch(inputLines(), chatEndpoint)
  const [withBatch, batch] = await Promise.all([runOnlineLoad(stylist), waitForBatch(bakery, created)])
  print(`  ${describeLatencies(withBatch)}`)
  print(`  batch ${batch.status}: ${batch.request_counts.completed} completed, ${batch.request_counts.failed} failed`)
  const hasOneResultEach = await hasOneResultPerItem(bakery, batch)
  print(`  every item exactly once: ${hasOneResultEach ? 'yes' : 'NO'}`)
  print(`  time to first token, 99th percentile: ${(percentile(withBatch, 0.99) / percentile(onlineOnly, 0.99)).toFixed(2)} times that without the batch\n`)

  print('Charges:')
  for (const line of await readChargeLines(system)) {
    print(`  ${line}`)
  }
  return hasOneResultEach ? 0 : 1
}

/** Sends requests at a fixed rate without waiting for earlier ones (open loop); returns the times to first token in milliseconds. */
async function runOnlineLoad (client: DemonstrationClient): Promise<readonly number[]> {
  const requests: Array<Promise<number>> = []
  for (let index = 0; index < onlineRequestCount; index++) {
    requests.push(client.chat(`Which slot suits client ${index}?`, onlineTokens).then(response => response.timeToFirstTokenMilliseconds))
    await new Promise(resolve => { setTimeout(resolve, onlineIntervalMilliseconds) })
  }
  return await Promise.all(requests)
}

function inputLines (): readonly string[] {
  return Array.from({ length: batchItemCount }, (_, index) => JSON.stringify({
    custom_id: `cake-${index}`,
    method: 'POST',
    url: chatEndpoint,
    body: { model: sample.model, messages: [{ role: 'user', content: `A dedication for cake ${index}` }] }
  }))
}

async function waitForBatch (client: DemonstrationClient, batch: DemonstrationBatch): Promise<DemonstrationBatch> {
  let current = batch
  while (current.status === 'in_progress') {
    await new Promise(resolve => { setTimeout(resolve, pollMilliseconds) })
    current = await client.getBatch(batch.id)
  }
  return current
}

async function hasOneResultPerItem (client: DemonstrationClient, batch: DemonstrationBatch): Promise<boolean> {
  const output = batch.output_file_id === null ? [] : await client.lines(batch.output_file_id)
  const errors = batch.error_file_id === null ? [] : await client.lines(batch.error_file_id)
  const itemNames = [...output, ...errors].map(line => (JSON.parse(line) as { readonly custom_id: string }).custom_id)
  return itemNames.length === batchItemCount && new Set(itemNames).size === batchItemCount
}

async function readChargeLines (system: EmbeddedSystem): Promise<readonly string[]> {
  const response = await fetch(`http://${system.operatorAddress}/admin/charges`, {
    headers: { authorization: `Bearer ${sample.operator.key}` }
  })
  const { charges } = await response.json() as {
    readonly charges: ReadonlyArray<{
      readonly client: string
      readonly subject: string
      readonly usage: { readonly requests: number, readonly promptTokens: number, readonly completionTokens: number }
    }>
  }
  return charges.map(({ client, subject, usage }) => {
    return `${client.padEnd(10)} ${subject.padEnd(14)} ${usage.requests} requests, ${usage.promptTokens} + ${usage.completionTokens} tokens`
  })
}

function describeLatencies (times: readonly number[]): string {
  const atFraction = (fraction: number): string => `${percentile(times, fraction).toFixed(1)} ms`
  return `time to first token: median ${atFraction(0.5)}, 95th ${atFraction(0.95)}, 99th ${atFraction(0.99)}`
}

function percentile (times: readonly number[], fraction: number): number {
  const sorted = [...times].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0
}
