/**
 * Runs several writers concurrently against a faulty log and checks the resulting history for duplicated, lost and
 * falsely rejected jobs. These arise if an append is applied although its response was lost, or applied late, and the
 * writer repeats it, or if writers decide on outdated state.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { ChangeOutcome, ItemState, JobLog, JobsFold, KeyedFollower, sleep } from '../../src/index.js'
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
  /** Keys of all records of the log, by offset. */
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
  const log = new FaultyLog(random, isConditional)
  const outcomes: ReportedOutcome[] = []
  const close: Array<() => void> = []
  await Promise.all(Array.from({ length: writers }, async (_, writer) => {
    const logger = createTestLogger()
    const fold = new JobsFold(logger)
    const follower = new KeyedFollower(log.connect(), { name: 'jobs', waitMilliseconds: 5, pauseMilliseconds: () => 3 }, (records, isReset) => { fold.apply(records, isReset) }, logger)
    const jobLog = new JobLog(log.connect(), follower, fold, logger)
    follower.start()
    close.push(() => { follower.close() })
    await Promise.all(Array.from({ length: jobs }, async (_unused, number) => {
      const id = `job-${number}`
      const end = await jobLog.submit(submission(id), waitingTokens, `writer-${writer}`, 400)
      outcomes.push({ job: id, end })
      if (end === ChangeOutcome.Done) {
        await Promise.all([0, 1].map(async index => await jobLog.finish(id, index, ItemState.Completed, `text of ${writer}`)))
      }
    }))
  }))
  // Waits until late appends have been applied.
  await sleep(40)
  for (const stop of close) {
    stop()
  }
  return { keys: log.records.map(record => record.key), outcomes }
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
