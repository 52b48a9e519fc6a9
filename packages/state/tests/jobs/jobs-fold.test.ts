import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { encodeRecordBatch, FilePurpose, RecordType } from '@arbutusloft/protocol'
import type { LogRecord } from '@arbutusloft/protocol'
import fc from 'fast-check'
import { FoldedStream } from '../../src/folded-stream.js'
import type { StreamEntry } from '../../src/folded-stream.js'
import { JobStatus } from '../../src/jobs/job-state.js'
import { JobsFold } from '../../src/jobs/jobs-fold.js'

const items = 6
/** Positions for each entry of the log, stated independently of the code under test. */
const positionsPerEntry = 4_096
const jobs = ['j0', 'j1'] as const
const runs = Number(process.env['FAST_CHECK_RUNS'] ?? 300)
const seed = Number(process.env['FAST_CHECK_SEED'] ?? 20_261_203)

/**
 * An action of a writer. `claim` selects the epoch: 0 is the job's latest claim, 1 the one before, and so on. Older epochs
 * stand for a paused process that continues after a takeover. `batchesBack` selects an earlier batch in the same way.
 */
type Step =
  | { readonly kind: 'claim', readonly job: number, readonly writer: number }
  | { readonly kind: 'complete', readonly job: number, readonly writer: number, readonly claim: number, readonly items: readonly number[] }
  | { readonly kind: 'intend', readonly job: number, readonly writer: number, readonly claim: number, readonly items: readonly number[] }
  | { readonly kind: 'cancel', readonly job: number, readonly writer: number }
  | { readonly kind: 'resend', readonly batchesBack: number }

const job = fc.nat({ max: jobs.length - 1 })
const writer = fc.nat({ max: 2 })
const claim = fc.nat({ max: 4 })
const itemList = fc.uniqueArray(fc.nat({ max: items - 1 }), { maxLength: items })

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('claim' as const), job, writer }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('complete' as const), job, writer, claim, items: itemList }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('intend' as const), job, writer, claim, items: itemList }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), job, writer }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('resend' as const), batchesBack: fc.nat({ max: 5 }) }) }
)

/** The expected state of a job. */
interface ModelJob {
  epoch: number | null
  cancelled: boolean
  /** Items that must count, with the offset of the chunk that holds the result. */
  readonly counted: Map<number, number>
}

/** Builds a log from steps, together with a reference model of the completions that must count. */
class LogBuilder {
  readonly entries: StreamEntry[] = []
  readonly model = jobs.map((): ModelJob => ({ epoch: null, cancelled: false, counted: new Map() }))
  readonly #claims: number[][] = jobs.map(() => [])
  readonly #sequences = new Map<number, number>()
  readonly #sent: Buffer[] = []

  constructor () {
    const chunks = [{ offset: 0, lines: items }]
    const created = { client: 'c', createdAt: 0 } as const
    this.#append(0, [
      { type: RecordType.FileCreated, file: 'f', name: 'f', purpose: FilePurpose.Batch, bytes: 1, chunks, ...created },
      ...jobs.map((id): LogRecord => ({
        type: RecordType.JobCreated,
        job: id,
        idempotencyKey: `key ${id}`,
        inputFile: 'f',
        endpoint: '/v1/completions',
        deadline: 0,
        completionWindow: '24h',
        metadata: {},
        ...created
      }))
    ])
  }

  run (step: Step): void {
    if (step.kind === 'resend') {
      const data = this.#sent[this.#sent.length - 1 - step.batchesBack]
      if (data !== undefined) {
        this.entries.push({ offset: this.entries.length, time: this.entries.length, data })
      }
      return
    }
    const id = jobs[step.job] ?? jobs[0]
    const model = this.model[step.job]
    assert.ok(model)
    const inProgress = !model.cancelled && model.counted.size < items
    const position = this.entries.length * positionsPerEntry
    switch (step.kind) {
      case 'claim':
        this.#append(step.writer, [{ type: RecordType.JobClaimed, job: id, owner: `w${step.writer}` }])
        this.#claims[step.job]?.push(position)
        model.epoch = inProgress ? position : model.epoch
        break
      case 'cancel':
        this.#append(step.writer, [{ type: RecordType.JobCancelled, job: id, client: 'c', cancelledAt: 0 }])
        model.cancelled ||= inProgress
        break
      case 'intend':
        this.#append(step.writer, [{ type: RecordType.ItemsIntended, job: id, epoch: this.#epoch(step), items: step.items }])
        break
      case 'complete':
        this.#complete(step, id, model, inProgress)
        break
    }
  }

  #complete (step: Extract<Step, { readonly kind: 'complete' }>, id: string, model: ModelJob, inProgress: boolean): void {
    const epoch = this.#epoch(step)
    const chunk = this.entries.length
    this.#append(step.writer, [{
      type: RecordType.ItemsCompleted,
      job: id,
      epoch,
      chunk,
      subject: 'm',
      failed: false,
      items: step.items,
      promptTokens: step.items.map(() => 1),
      completionTokens: step.items.map(() => 2)
    }])
    if (inProgress && epoch === model.epoch) {
      for (const item of step.items) {
        if (!model.counted.has(item)) {
          model.counted.set(item, chunk)
        }
      }
    }
  }

  #epoch (step: { readonly job: number, readonly claim: number }): number {
    const claims = this.#claims[step.job] ?? []
    return claims[claims.length - 1 - step.claim] ?? -1
  }

  #append (writer: number, records: readonly LogRecord[]): void {
    const sequence = (this.#sequences.get(writer) ?? 0) + 1
    this.#sequences.set(writer, sequence)
    const data = encodeRecordBatch({ writer: `w${writer}`, sequence, records })
    this.#sent.push(data)
    this.entries.push({ offset: this.entries.length, time: this.entries.length, data })
  }
}

function build (steps: readonly Step[]): LogBuilder {
  const log = new LogBuilder()
  steps.forEach(each => { log.run(each) })
  return log
}

function replay (entries: readonly StreamEntry[], from: Uint8Array | null = null): { readonly state: JobsFold, readonly stream: FoldedStream } {
  const state = new JobsFold()
  const stream = new FoldedStream(state)
  if (from !== null) {
    stream.restore(from)
  }
  entries.forEach(entry => { stream.apply(entry, () => {}) })
  return { state, stream }
}

/** Returns the items that count by the fold, with the offset of the chunk that holds their result. */
function countedItemsOf (state: JobsFold, id: string, log: LogBuilder): Map<number, number> {
  const counted = new Map<number, number>()
  for (const result of state.jobs.get(id)?.results ?? []) {
    const entry = log.entries[result.offset]
    assert.ok(entry)
    const record = recordAt(entry)
    const lines = result.accepted ?? record.items.map((_, line) => line)
    lines.forEach(line => { counted.set(record.items[line] ?? -1, result.offset) })
  }
  return counted
}

function recordAt (entry: StreamEntry): { readonly items: readonly number[] } {
  let found: readonly number[] = []
  new FoldedStream(new JobsFold()).apply({ ...entry, offset: 0 }, record => {
    found = record.type === RecordType.ItemsCompleted ? record.items : found
  })
  return { items: found }
}

void describe('JobsFold', () => {
  void it('counts each item at most once and only under the latest claim, as the reference model does', () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const log = build(steps)
      const { state } = replay(log.entries)
      jobs.forEach((id, index) => {
        const model = log.model[index]
        const actual = state.jobs.get(id)
        assert.ok(model)
        assert.deepEqual(countedItemsOf(state, id, log), model.counted)
        assert.equal(actual?.done.size, model.counted.size)
        assert.equal(actual?.usage.requests, model.counted.size)
        const ended = model.counted.size === items ? JobStatus.Completed : JobStatus.InProgress
        assert.equal(actual?.status, model.cancelled ? JobStatus.Cancelled : ended)
      })
    }), { numRuns: runs, seed })
  })

  void it('reaches the same state from a snapshot at any offset as from the whole log', () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), fc.nat(), (steps, at) => {
      const log = build(steps)
      const cut = at % (log.entries.length + 1)
      const snapshot = replay(log.entries.slice(0, cut)).stream.serialize()
      const whole = replay(log.entries)
      const resumed = replay(log.entries, snapshot)
      assert.deepEqual(resumed.stream.serialize(), whole.stream.serialize())
    }), { numRuns: runs, seed })
  })

  void it('keeps the epoch of the first intent of each item', () => {
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const log = build(steps)
      const firstEpochs = new Map<string, number>()
      const state = new JobsFold()
      const stream = new FoldedStream(state)
      for (const entry of log.entries) {
        stream.apply(entry, () => {})
        for (const id of jobs) {
          for (const [item, epoch] of state.jobs.get(id)?.intents ?? []) {
            const before = firstEpochs.get(`${id} ${item}`) ?? epoch
            assert.equal(epoch, before)
            firstEpochs.set(`${id} ${item}`, epoch)
          }
        }
      }
    }), { numRuns: runs, seed })
  })

  void it('finds the first job of an idempotency key for its client only', () => {
    const log = build([])
    const { state } = replay(log.entries)
    assert.equal(state.findJobByIdempotencyKey('c', 'key j0')?.created.job, 'j0')
    assert.equal(state.findJobByIdempotencyKey('d', 'key j0'), null)
  })
})
