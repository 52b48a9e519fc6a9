/**
 * Runs several writers concurrently against faulty logs, two partitions of jobs and the ledger of their tokens, and checks
 * the resulting history for duplicated, lost and falsely rejected jobs, and for more waiting tokens than allowed. These arise if an append is applied although its response was lost, or applied late, and the
 * writer repeats it, or if writers decide on outdated state.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { ChangeOutcome, ItemState, JobPartition, sleep, TokenLedger } from '../../src/index.js'
import type { JobSubmission } from '../../src/index.js'
import { FaultyLog } from '../util/faulty-topic.js'
import type { Random } from '../util/faulty-topic.js'
import { createTestLogger } from '../util/test-logger.js'

const waitingTokens = 30
const tokensOfItem = 5
const itemsOfJob = 2
const jobs = 6
const writers = 3

/** An outcome that a writer got for a submission. */
interface ReportedOutcome {
  readonly job: string
  readonly end: ChangeOutcome
}

interface History {
  /** Keys of the records of all partitions, in the order in which they were appended. */
  readonly keys: readonly string[]
  readonly outcomes: readonly ReportedOutcome[]
}

function randomOf (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** Has several writers submit the same jobs and finish the same items through a faulty log. */
async function runWriters (seed: number, isConditional: boolean): Promise<History> {
  const random = randomOf(seed)
  const keys: string[] = []
  const logs = [0, 1].map(() => new FaultyLog(random, isConditional, key => { keys.push(key) }))
  const totals = new FaultyLog(random, isConditional)
  const outcomes: ReportedOutcome[] = []
  const partitions: JobPartition[] = []
  const close: Array<() => void> = []
  await Promise.all(Array.from({ length: writers }, async (_, writer) => {
    const logger = createTestLogger()
    const own = logs.map((log, number) => new JobPartition(number, log.connect(), logger))
    partitions.push(...own)
    // The first two writers own a partition each; all of them submit to both.
    const owned = own.filter(partition => partition.number === writer)
    const ledger = new TokenLedger(totals.connect(), { active: () => owned, onActiveChange: () => {} }, () => `writer-${writer}`, logger)
    close.push(() => { ledger.close() })
    await Promise.all(Array.from({ length: jobs }, async (_unused, number) => {
      const id = `job-${number}`
      const partition = own[number % own.length]
      if (partition === undefined) {
        throw new RangeError(`writer ${writer} has no partition for ${id}`)
      }
      const end = await submit(ledger, partition, id, writer)
      outcomes.push({ job: id, end })
      if (end === ChangeOutcome.Done) {
        await Promise.all([0, 1].map(async index => await partition.log.finish(id, index, ItemState.Completed, `text of ${writer}`)))
        await ledger.correct()
      }
    }))
  }))
  // Waits until late appends have been applied.
  await sleep(40)
  partitions.forEach(partition => { partition.close() })
  close.forEach(stop => { stop() })
  return { keys, outcomes }
}

/** Submits a job as {@link JobApi} does: its tokens are reserved first. */
async function submit (ledger: TokenLedger, partition: JobPartition, id: string, writer: number): Promise<ChangeOutcome> {
  const deadline = Date.now() + 400
  const request = { job: id, route: 'route', tokens: itemsOfJob * tokensOfItem, limit: waitingTokens }
  const reservation = await ledger.reserve(partition, request, deadline)
  const end = reservation.granted ? await partition.log.submit(submission(id), `writer-${writer}`, deadline) : reservation.reason
  ledger.settle(request, end)
  return end
}

function submission (id: string): JobSubmission {
  const items = Array.from({ length: itemsOfJob }, (_, index) => ({ id: `${id}-${index}`, path: '/', headers: [], body: Buffer.from('b'), tokens: tokensOfItem }))
  return { id, route: 'route', items }
}

/** Returns the violations in a history: duplicated records, more waiting tokens than allowed, or untrue outcomes. */
function violationsOf ({ keys, outcomes }: History): readonly string[] {
  const faults: string[] = []
  const seen = new Set<string>()
  let waiting = 0
  for (const key of keys) {
    if (seen.has(key)) {
      faults.push(`${key} was appended twice`)
    }
    seen.add(key)
    waiting += key.startsWith('s/') ? itemsOfJob * tokensOfItem : 0
    waiting -= key.startsWith('r/') ? tokensOfItem : 0
    if (waiting > waitingTokens) {
      faults.push(`${waiting} tokens wait after ${key}, more than the limit`)
    }
  }
  for (const { job, end } of outcomes) {
    if (end === ChangeOutcome.Done && !seen.has(`s/${job}`)) {
      faults.push(`${job} was accepted but is not in the log`)
    }
    const others = outcomes.filter(other => other.job === job && other.end !== end)
    if (end !== ChangeOutcome.Done && end !== ChangeOutcome.Unknown && others.length === 0 && seen.has(`s/${job}`)) {
      faults.push(`${job} was rejected by all writers but is in the log`)
    }
  }
  return faults
}

describe('JobLog', () => {
  it('accepts each job and finishes each item once, whatever faults its appends meet', async () => {
    for (let seed = 1; seed <= 12; seed += 1) {
      assert.deepEqual(violationsOf(await runWriters(seed, true)), [], `seed ${seed}`)
    }
  })

  it('shows violations if appends are not conditional, so the check can fail', async () => {
    const faults: string[] = []
    for (let seed = 1; seed <= 12; seed += 1) {
      faults.push(...violationsOf(await runWriters(seed, false)))
    }
    assert.ok(faults.length > 0)
  })
})
