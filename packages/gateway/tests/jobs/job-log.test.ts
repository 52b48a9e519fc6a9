/** Histories of several writers through a faulty log, checked for doubled, lost and falsely refused jobs. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { ChangeEnd, ItemState, JobLog, JobsFold, KeyedFollower, sleep } from '../../src/index.js'
import type { JobSubmission } from '../../src/index.js'
import { FaultyLog } from '../util/faulty-topic.js'
import type { Random } from '../util/faulty-topic.js'
import { createTestLogger } from '../util/silent-logger.js'

const waitingTokens = 30
const tokensOfItem = 5
const itemsOfJob = 2
const jobs = 6
const writers = 3

interface Told {
  readonly job: string
  readonly end: ChangeEnd
}

interface History {
  readonly keys: readonly string[]
  readonly told: readonly Told[]
}

function randomOf (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** Lets several writers submit the same jobs and finish the same items through a faulty log. */
async function play (seed: number, isConditional: boolean): Promise<History> {
  const random = randomOf(seed)
  const log = new FaultyLog(random, isConditional)
  const told: Told[] = []
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
      told.push({ job: id, end })
      if (end === ChangeEnd.Done) {
        await Promise.all([0, 1].map(async index => await jobLog.finish(id, index, ItemState.Completed, `text of ${writer}`)))
      }
    }))
  }))
  // Appends that are done late have come by then.
  await sleep(40)
  for (const stop of close) {
    stop()
  }
  return { keys: log.records.map(record => record.key), told }
}

function submission (id: string): JobSubmission {
  const items = Array.from({ length: itemsOfJob }, (_, index) => ({ id: `${id}-${index}`, path: '/', headers: [], body: Buffer.from('b'), tokens: tokensOfItem }))
  return { id, route: 'route', items }
}

/** What is wrong with a history: doubled records, more waiting than allowed, or answers that are not true. */
function faultsOf ({ keys, told }: History): readonly string[] {
  const faults: string[] = []
  const seen = new Set<string>()
  let waiting = 0
  for (const key of keys) {
    if (seen.has(key)) {
      faults.push(`${key} stands twice`)
    }
    seen.add(key)
    waiting += key.startsWith('s/') ? itemsOfJob * tokensOfItem : 0
    waiting -= key.startsWith('r/') ? tokensOfItem : 0
    if (waiting > waitingTokens) {
      faults.push(`${waiting} tokens wait at ${key}`)
    }
  }
  for (const { job, end } of told) {
    if (end === ChangeEnd.Done && !seen.has(`s/${job}`)) {
      faults.push(`${job} was accepted and is not there`)
    }
    const others = told.filter(other => other.job === job && other.end !== end)
    if (end !== ChangeEnd.Done && end !== ChangeEnd.Unknown && others.length === 0 && seen.has(`s/${job}`)) {
      faults.push(`${job} was refused by all and is there`)
    }
  }
  return faults
}

describe('the log of jobs', () => {
  it('accepts and finishes everything once, whatever happens to its appends', async () => {
    for (let seed = 1; seed <= 12; seed += 1) {
      assert.deepEqual(faultsOf(await play(seed, true)), [], `seed ${seed}`)
    }
  })

  it('would be caught by this check if appends were not conditional', async () => {
    const faults: string[] = []
    for (let seed = 1; seed <= 12; seed += 1) {
      faults.push(...faultsOf(await play(seed, false)))
    }
    assert.ok(faults.length > 0)
  })
})
