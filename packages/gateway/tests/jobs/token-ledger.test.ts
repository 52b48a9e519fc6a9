/** Guards against more waiting tokens than a route allows after a process wakes that others had taken for lost. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Packr } from 'msgpackr'
import { ChangeOutcome } from '../../src/jobs/job-log.js'
import { JobPartition } from '../../src/jobs/job-partition.js'
import { TokenLedger } from '../../src/jobs/token-ledger.js'
import { FaultyLog } from '../util/faulty-topic.js'
import { createTestLogger } from '../util/test-logger.js'

const packr = new Packr({ useRecords: false })
const limit = 100
const route = 'r'
const noFaults = { rejectedAppend: 0, lostResponse: 0, lateAppend: 0, failedRead: 0 }

/** Name of the process that knows that it does not own the partition. */
const otherName = 'other'

/** A process that owns the partition, or believes so, or knows that it does not. */
class Process {
  readonly partition: JobPartition
  readonly ledger: TokenLedger

  constructor (readonly name: string, jobs: FaultyLog, tokens: FaultyLog, lines: string[] = []) {
    this.partition = new JobPartition(1, jobs.connect(), createTestLogger())
    const owned = { active: () => name === otherName ? [] : [this.partition], onActiveChange: () => {} }
    this.ledger = new TokenLedger(tokens.connect(), owned, () => name, createTestLogger(lines))
  }

  /** Submits a job with one item; returns whether it was accepted. */
  async submit (job: string, tokens: number, account?: string): Promise<boolean> {
    const deadline = Date.now() + 2_000
    const ofAccount = account === undefined ? {} : { account }
    const request = { job, route, tokens, limit, ...ofAccount }
    const reservation = await this.ledger.reserve(this.partition, request, deadline)
    if (!reservation.granted) {
      return false
    }
    const items = [{ id: `${job}-item`, path: '/', headers: [], body: Buffer.alloc(0), tokens }]
    const outcome = await this.partition.log.submit({ id: job, route, items, ...(account === '' ? {} : ofAccount) }, this.name, deadline)
    this.ledger.settle(request, outcome)
    return outcome === ChangeOutcome.Done
  }

  close (): void {
    this.ledger.close()
    this.partition.close()
  }
}

function startProcesses (names: readonly string[], tokens = new FaultyLog(() => 0.5)): readonly Process[] {
  const jobs = new FaultyLog(() => 0.5)
  Object.assign(jobs.faults, noFaults)
  Object.assign(tokens.faults, noFaults)
  return names.map(name => new Process(name, jobs, tokens))
}

describe('TokenLedger of a process that wakes after a pause', () => {
  it('does not write outdated totals over newer ones', async context => {
    const [woken, owner, other] = startProcesses(['woken', 'owner', otherName])
    assert.ok(woken !== undefined && owner !== undefined && other !== undefined)
    context.after(() => { [woken, owner, other].forEach(each => { each.close() }) })
    assert.ok(await woken.submit('first', 10))
    await owner.partition.refresh()
    assert.ok(await owner.submit('second', 80))
    await owner.ledger.correct()
    // The pause ends: the process knows the first job only.
    await woken.ledger.correct()
    await other.partition.refresh()
    assert.equal(await other.submit('third', 20), false)
    assert.equal(await other.submit('fourth', 10), true)
  })

  it('does not accept jobs by what it knew of its partitions before', async context => {
    const [woken, owner] = startProcesses(['woken', 'owner'])
    assert.ok(woken !== undefined && owner !== undefined)
    context.after(() => { [woken, owner].forEach(each => { each.close() }) })
    assert.ok(await woken.submit('first', 10))
    await woken.ledger.correct()
    await owner.partition.refresh()
    assert.ok(await owner.submit('second', 80))
    await owner.ledger.correct()
    assert.equal(await woken.submit('third', 20), false)
    assert.equal(await woken.submit('fourth', 10), true)
  })

  it('does not write totals that lack a job which is accepted meanwhile', async context => {
    const [woken, owner, other] = startProcesses(['woken', 'owner', otherName])
    assert.ok(woken !== undefined && owner !== undefined && other !== undefined)
    context.after(() => { [woken, owner, other].forEach(each => { each.close() }) })
    assert.ok(await woken.submit('first', 10))
    await owner.partition.refresh()
    // Pauses between its reads and its append, while the other owner accepts a job and replaces its reservation.
    const refresh = woken.partition.refresh.bind(woken.partition)
    let isFirst = true
    woken.partition.refresh = async () => {
      const isDone = await refresh()
      if (isFirst) {
        isFirst = false
        assert.ok(await owner.submit('second', 80))
        await owner.ledger.correct()
      }
      return isDone
    }
    await woken.ledger.correct()
    await other.partition.refresh()
    assert.equal(await other.submit('third', 20), false)
  })
})

describe('TokenLedger with client accounts', () => {
  it('bounds the tokens of each account by itself, and all together without accounts', async context => {
    const [owner, other] = startProcesses(['owner', otherName])
    assert.ok(owner !== undefined && other !== undefined)
    context.after(() => { [owner, other].forEach(each => { each.close() }) })
    assert.equal(await owner.submit('a1', 90, 'a'), true)
    assert.equal(await owner.submit('a2', 20, 'a'), false)
    assert.equal(await owner.submit('b1', 100, 'b'), true)
    assert.equal(await owner.submit('none', 100, ''), true)
    assert.equal(await owner.submit('none-2', 1, ''), false)
    assert.equal(await owner.submit('all', 1), false)
    // By the totals and reservations in the topic, at a process that does not own the partition, before and after a correction.
    for (const suffix of ['', '-corrected']) {
      await other.partition.refresh()
      assert.equal(await other.submit(`a3${suffix}`, 11, 'a'), false)
      assert.equal(await other.submit(`b2${suffix}`, 1, 'b'), false)
      assert.equal(await other.submit(`c1${suffix}`, 50, 'c'), true)
      await owner.partition.refresh()
      await owner.ledger.correct()
    }
    assert.equal(await other.submit('c2', 1, 'c'), false)
  })

  it('holds the bound of each account when many processes submit at once', async context => {
    const processes = startProcesses(['owner', ...Array.from({ length: 3 }, () => otherName)])
    context.after(() => { processes.forEach(each => { each.close() }) })
    const accounts = ['a', 'b', '']
    const accepted = new Map<string, number>()
    await Promise.all(processes.flatMap((process, index) => accounts.flatMap(account => Array.from({ length: 5 }, async (_, number) => {
      if (await process.submit(`${account}-${index}-${number}`, 15, account)) {
        accepted.set(account, (accepted.get(account) ?? 0) + 15)
      }
    }))))
    for (const account of accounts) {
      const tokens = accepted.get(account) ?? 0
      assert.ok(tokens > 0 && tokens <= limit, `${tokens} tokens of ${account}`)
    }
  })

  it('counts totals and reservations of builds that knew no accounts for the jobs of no account', async context => {
    const tokens = new FaultyLog(() => 0.5)
    const [other] = startProcesses([otherName], tokens)
    assert.ok(other !== undefined)
    context.after(() => { other.close() })
    const reservation = { job: 'earlier', partition: 3, route, tokens: 30, at: Date.now() }
    await tokens.connect().append([{ key: 'p/2', value: packr.pack([[route, 60]]) }, { key: 'r/earlier/process', value: packr.pack(reservation) }], null)
    assert.equal(await other.submit('none', 11, ''), false)
    assert.equal(await other.submit('all', 11), false)
    assert.equal(await other.submit('a', 100, 'a'), true)
  })
})

describe('TokenLedger beside records that no process of the fleet writes', () => {
  const reservation = { job: 'j', partition: 1, route, tokens: 1, at: Date.now() }
  for (const [key, value] of [
    ['p/1', Buffer.from([0xc1])], ['p/1', packr.pack(7)], ['p/1', packr.pack([['r', NaN]])], ['p/1', packr.pack([['r', -50]])], ['p/x', packr.pack([['r', 50]])], ['r/j/a', packr.pack(null)],
    ['r/j/a', packr.pack({ ...reservation, tokens: -50 })], ['r/j/a', packr.pack({ ...reservation, tokens: NaN })], ['r/j/a', packr.pack({ ...reservation, tokens: 90, at: Date.now() + 1e9 })]
  ] as const) {
    it(`holds the limit and accepts jobs: ${key} with ${value.toString('hex').slice(0, 60)}`, async context => {
      const tokens = new FaultyLog(() => 0.5)
      const [owner] = startProcesses(['owner'], tokens)
      assert.ok(owner !== undefined)
      context.after(() => { owner.close() })
      await tokens.connect().append([{ key, value }], null)
      assert.equal(await owner.submit('first', 60), true)
      assert.equal(await owner.submit('second', 60), false)
    })
  }
})

describe('TokenLedger with a record that cannot be read', () => {
  it('counts the tokens of the other records, and logs it', async context => {
    const jobs = new FaultyLog(() => 0.5)
    const tokens = new FaultyLog(() => 0.5)
    Object.assign(jobs.faults, noFaults)
    Object.assign(tokens.faults, noFaults)
    const lines: string[] = []
    const process = new Process('process', jobs, tokens, lines)
    context.after(() => { process.close() })
    assert.ok(await process.submit('first', 10))
    // A byte that begins no value.
    const unreadable = Buffer.from([0xc1])
    await tokens.connect().append([{ key: 'p/7', value: unreadable }, { key: 'r/odd/process', value: unreadable }], null)
    assert.equal(await process.submit('second', 95), false)
    assert.equal(await process.submit('third', 80), true)
    assert.ok(lines.some(line => line.includes('waiting tokens not readable') && line.includes('r/odd/process')))
  })
})
