/** Random faults under mixed load: `npm run soak -- --minutes N --seed S`. */
import { parseArgs } from 'node:util'
import { pause, sample, startCluster, until } from '@arbutusloft/development'
import type { Cluster } from '@arbutusloft/development'
import { checkAnswers } from '../checkers/check-answers.js'
import { checkCharges } from '../checkers/check-charges.js'
import type { ReceivedRequests } from '../checkers/check-charges.js'
import { checkItems } from '../checkers/check-items.js'
import type { ReadResults } from '../checkers/check-items.js'
import { checkRevisions } from '../checkers/check-revisions.js'
import { checkAtMostOnce, checkNotRun } from '../checkers/check-single-calls.js'
import type { Verdict } from '../checkers/verdict.js'
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
const settleMilliseconds = 8_000

process.stdout.write(`soak: ${minutes} minutes, seed ${seed}\n`)
const cluster = await startCluster({ entries: 3, schedulers: 2, batches: 2, engines: 4, concurrency: 8, log: { appendsPerSecond: 200 } })
try {
  process.exitCode = await soak(cluster)
} finally {
  await cluster.close()
}

async function soak (target: Cluster): Promise<number> {
  const history = new History()
  const load = new MixedLoad(target, history)
  load.start()
  const faults = await injectFaults(target, new Random(seed), Date.now() + minutes * millisecondsPerMinute)
  await endFaults(target)
  await load.stop()
  const results = await load.results()
  await pause(settleMilliseconds)
  const verdicts: readonly Verdict[] = [
    checkItems(results),
    checkAnswers(history),
    checkAtMostOnce(history, target.service.executions),
    checkItemsAtMostOnce(target.service.executions),
    checkNotRun(history, target.service.executions),
    checkRevisions(load.revisions),
    await checkAllCharges(target, history, load.jobs, results)
  ]
  for (const [name, count] of faults) {
    print(`fault   ${String(count).padStart(6)}  ${name}`)
  }
  printOutcomes(history)
  for (const verdict of verdicts) {
    print(`${String(verdict.checked).padStart(8)} checked ${String(verdict.broken.length).padStart(4)} broken  ${verdict.promise}`)
    verdict.broken.slice(0, 10).forEach(fault => { print(`          ${fault}`) })
  }
  const held = verdicts.every(verdict => verdict.broken.length === 0)
  if (!held) {
    await printProcesses(target)
  }
  return held ? 0 : 1
}

/** What each process shows at the end, to find the cause of a broken promise. */
async function printProcesses (target: Cluster): Promise<void> {
  for (let entry = 0; entry < target.callerAddresses().length; entry++) {
    print(`entry ${entry} shows ${JSON.stringify(await readCharges(target, entry))}`)
  }
  print(`log: ${target.log.appends} appends, ${target.log.refused} refused`)
  for (const candidate of target.processes) {
    const troubles = candidate.lines.filter(line => !line.includes('"level":"info"'))
    print(`${candidate.member}: ${troubles.length} lines of trouble; the last:`)
    troubles.slice(-4).forEach(line => { print(`  ${line}`) })
  }
}

/** Batch items that may not be repeated carry keys of their own. */
function checkItemsAtMostOnce (executions: ReadonlyMap<string, number>): Verdict {
  const keys = [...executions].filter(([key]) => key.startsWith('batch_'))
  const broken = keys.filter(([, count]) => count > 1).map(([key, count]) => `${key} was executed ${count} times`)
  return { promise: 'a batch item that may not be repeated runs at most once', checked: keys.length, broken }
}

async function checkAllCharges (
  target: Cluster,
  history: History,
  jobs: readonly AcceptedJob[],
  results: readonly ReadResults[]
): Promise<Verdict> {
  const succeeded = (subject: string): number => results
    .filter(result => jobs.find(job => job.job === result.job)?.subject === subject)
    .flatMap(result => result.lines)
    .filter(line => (JSON.parse(line) as { readonly error: unknown }).error === null).length
  const chats = history.events.filter(event => event.operation.kind === 'chat')
  const whole = chats.filter(event => event.outcome?.whole === true).length
  // An answer that was completed as its entry or connection broke may be charged or not.
  const unclear = chats.filter(event => event.outcome?.whole !== true && event.outcome?.run !== 'not-run').length
  const confirmed = new Set(history.events.flatMap(event => {
    return event.operation.kind === 'confirm' && event.outcome?.status === 200 ? [event.operation.idempotencyKey] : []
  }))
  const executed = [...target.service.executions.keys()].filter(key => !key.startsWith('batch_')).length
  const client = sample.stylist.client
  const expected: readonly ReceivedRequests[] = [
    { client, subject: sample.model, certainly: whole + succeeded(sample.model), atMost: whole + unclear + succeeded(sample.model) },
    { client, subject: sample.service, certainly: confirmed.size + succeeded(sample.service), atMost: executed + succeeded(sample.service) }
  ]
  let verdict = checkCharges(await readCharges(target), expected)
  try {
    await until('charges have arrived', async () => {
      verdict = checkCharges(await readCharges(target), expected)
      return verdict.broken.length === 0
    })
  } catch {
    // The verdict tells what is missing.
  }
  return verdict
}

function printOutcomes (history: History): void {
  const counts = new Map<string, number>()
  for (const { operation, outcome } of history.events) {
    const result = outcome?.whole === true ? 'answered' : `status ${outcome?.status ?? 'none'} ${outcome?.run ?? ''}`
    counts.set(`${operation.kind} ${result}`, (counts.get(`${operation.kind} ${result}`) ?? 0) + 1)
  }
  for (const [name, count] of counts) {
    print(`outcome ${String(count).padStart(6)}  ${name}`)
  }
}

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}
