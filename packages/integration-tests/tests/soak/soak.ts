/**
 * Soak test: injects random faults under mixed load and checks the guarantees of the system afterwards.
 * Run with `npm run soak -- --minutes N --seed S`; exits with 1 if a guarantee was violated.
 */
import { parseArgs } from 'node:util'
import { sample, sleep, startCluster, waitUntil } from '@arbutusloft/development'
import type { Cluster } from '@arbutusloft/development'
import { checkResponses } from '../checkers/check-responses.js'
import { checkCharges } from '../checkers/check-charges.js'
import type { ServedRequests } from '../checkers/check-charges.js'
import { checkItems } from '../checkers/check-items.js'
import type { JobResults } from '../checkers/check-items.js'
import { checkRevisions } from '../checkers/check-revisions.js'
import { checkAtMostOnce, checkNotRun } from '../checkers/check-at-most-once.js'
import type { CheckResult } from '../checkers/check-result.js'
import { History } from '../harness/history.js'
import { readCharges } from '../harness/read-charges.js'
import { endFaults, injectFaults } from './fault-injector.js'
import { MixedLoad } from './mixed-load.js'
import type { AcceptedJob } from './mixed-load.js'
import { Random } from '@arbutusloft/stand-ins'

const { values } = parseArgs({
  options: {
    minutes: { type: 'string', default: '1' },
    seed: { type: 'string', default: String(Math.floor(Date.now() / 1_000)) }
  }
})
const minutes = Number(values.minutes)
const seed = Number(values.seed)
const millisecondsPerMinute = 60_000
/** Wait before the charges are checked. The check passes once all charges are within bounds, so it would miss charges that exceed them later. */
const chargePropagationMilliseconds = 8_000

process.stdout.write(`soak: ${minutes} minutes, seed ${seed}\n`)
const soakCluster = await startCluster({ entries: 3, schedulers: 2, batches: 2, engines: 4, concurrency: 8, log: { appendsPerSecond: 200 } })
try {
  process.exitCode = await soak(soakCluster)
} finally {
  await soakCluster.close()
}

async function soak (cluster: Cluster): Promise<number> {
  const history = new History()
  const load = new MixedLoad(cluster, history)
  load.start()
  const faults = await injectFaults(cluster, new Random(seed), Date.now() + minutes * millisecondsPerMinute)
  await endFaults(cluster)
  await load.stop()
  const results = await load.results()
  await sleep(chargePropagationMilliseconds)
  const checkResults: readonly CheckResult[] = [
    checkItems(results),
    checkResponses(history),
    checkAtMostOnce(history, cluster.service.executions),
    checkItemsAtMostOnce(cluster.service.executions),
    checkNotRun(history, cluster.service.executions),
    checkRevisions(load.revisions),
    await checkAllCharges(cluster, history, load.jobs, results)
  ]
  for (const [name, count] of faults) {
    print(`fault   ${String(count).padStart(6)}  ${name}`)
  }
  printOutcomes(history)
  for (const checkResult of checkResults) {
    print(`${String(checkResult.checked).padStart(8)} checked ${String(checkResult.violations.length).padStart(4)} violated  ${checkResult.guarantee}`)
    checkResult.violations.slice(0, 10).forEach(violation => { print(`          ${violation}`) })
  }
  const allHeld = checkResults.every(checkResult => checkResult.violations.length === 0)
  if (!allHeld) {
    await printDiagnostics(cluster)
  }
  return allHeld ? 0 : 1
}

/** Prints what helps to find the cause of a violation: charges per entry, counts of the log, last warnings and errors of each process. */
async function printDiagnostics (cluster: Cluster): Promise<void> {
  for (let entryIndex = 0; entryIndex < cluster.callerAddresses().length; entryIndex++) {
    print(`entry ${entryIndex} reports the charges ${JSON.stringify(await readCharges(cluster, entryIndex))}`)
  }
  print(`log: ${cluster.log.appends} appends, ${cluster.log.refused} rejected by the rate limit`)
  for (const candidate of cluster.processes) {
    const problemLines = candidate.logLines.filter(line => !line.includes('"level":"info"'))
    print(`${candidate.memberName}: ${problemLines.length} log lines of other levels than info; the last ones:`)
    problemLines.slice(-4).forEach(line => { print(`  ${line}`) })
  }
}

/** Checks the batch items that call the non-idempotent service; their idempotency keys start with the batch's id. */
function checkItemsAtMostOnce (executions: ReadonlyMap<string, number>): CheckResult {
  const keys = [...executions].filter(([key]) => key.startsWith('batch_'))
  const violations = keys.filter(([, count]) => count > 1).map(([key, count]) => `batch item ${key} was executed ${count} times, expected at most 1`)
  return { guarantee: 'a non-idempotent batch item runs at most once', checked: keys.length, violations }
}

async function checkAllCharges (
  cluster: Cluster,
  history: History,
  jobs: readonly AcceptedJob[],
  results: readonly JobResults[]
): Promise<CheckResult> {
  const countSucceededItems = (subject: string): number => results
    .filter(result => jobs.find(job => job.job === result.job)?.subject === subject)
    .flatMap(result => result.lines)
    .filter(line => (JSON.parse(line) as { readonly error: unknown }).error === null).length
  const chatEvents = history.events.filter(event => event.operation.kind === 'chat')
  const completedChats = chatEvents.filter(event => event.outcome?.isComplete === true).length
  // A chat without a complete response may or may not be charged, unless it was rejected as not run.
  const possiblyChargedChats = chatEvents.filter(event => event.outcome?.isComplete !== true && event.outcome?.run !== 'not-run').length
  const confirmedKeys = new Set(history.events.flatMap(event => {
    return event.operation.kind === 'confirm' && event.outcome?.status === 200 ? [event.operation.idempotencyKey] : []
  }))
  const executedCalls = [...cluster.service.executions.keys()].filter(key => !key.startsWith('batch_')).length
  const client = sample.stylist.client
  const expected: readonly ServedRequests[] = [
    { client, subject: sample.model, minimum: completedChats + countSucceededItems(sample.model), maximum: completedChats + possiblyChargedChats + countSucceededItems(sample.model) },
    { client, subject: sample.confirmationService, minimum: confirmedKeys.size + countSucceededItems(sample.confirmationService), maximum: executedCalls + countSucceededItems(sample.confirmationService) }
  ]
  let checkResult = checkCharges(await readCharges(cluster), expected)
  try {
    await waitUntil('charges have arrived', async () => {
      checkResult = checkCharges(await readCharges(cluster), expected)
      return checkResult.violations.length === 0
    })
  } catch {
    // The last result, which lists the violations, is returned.
  }
  return checkResult
}

function printOutcomes (history: History): void {
  const counts = new Map<string, number>()
  for (const { operation, outcome } of history.events) {
    const result = outcome?.isComplete === true ? 'complete' : `status ${outcome?.status ?? 'none'} ${outcome?.run ?? ''}`
    counts.set(`${operation.kind} ${result}`, (counts.get(`${operation.kind} ${result}`) ?? 0) + 1)
  }
  for (const [name, count] of counts) {
    print(`outcome ${String(count).padStart(6)}  ${name}`)
  }
}

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}
