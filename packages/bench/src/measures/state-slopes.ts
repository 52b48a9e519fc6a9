/** Measures memory and time of folds and of scheduling decisions at four sizes. */
import { ConfigurationFold } from '@arbutusloft/configuration'
import { ownerOf, TargetAdmission } from '@arbutusloft/policy'
import { encode, FilePurpose, ListName, RecordType, WorkClass } from '@arbutusloft/protocol'
import type { LogRecord, SectionEdit } from '@arbutusloft/protocol'
import { FoldedStream, JobsFold, LedgerFold } from '@arbutusloft/state'
import type { Fold } from '@arbutusloft/state'
import { measureRetainedBytes } from '../util/heap.js'
import { fitLine, formatLine } from '../util/slope.js'
import type { Point, FittedLine } from '../util/slope.js'
import type { Measurement } from './measure.js'

const itemsPerJob = 8_800
const resultsPerRecord = 400
const linesPerChunk = 4_096
const millisecondsPerSecond = 1_000
const microsecondsPerMillisecond = 1_000
const repetitions = 20_000
const maximumTargets = 1_200
// 360 clients and 1,200 targets are the largest configuration that this measurement creates.
const clientsPerTarget = 360 / 1_200

/** Fits a line over four sizes to each measured value; the names of the values are keys of the report. */
export const stateSlopesMeasurement: Measurement = {
  name: 'state-slopes',
  description: 'memory and time of folds and decisions over four sizes, for docs/CAPACITY.md',
  run: async print => {
    const report: Record<string, FittedLine> = {}
    const add = (name: string, unit: string, points: readonly Point[]): void => {
      const line = fitLine(points)
      report[name] = line
      print(formatLine(name, unit, line))
    }
    add('memory of an ended job of 8,800 items', 'bytes', [50, 100, 200, 400].map(measureJobMemory))
    add('time to fold the records of such a job', 'ms', [50, 100, 200, 400].map(measureJobTime))
    add('snapshot of such a job', 'bytes', [50, 100, 200, 400].map(measureJobSnapshotBytes))
    add('memory of a remembered charge', 'bytes', [10_000, 20_000, 40_000, 80_000].map(measureChargeMemory))
    add('time to fold a charge', 'ms', [10_000, 20_000, 40_000, 80_000].map(measureChargeTime))
    add('memory of a target with its part of clients in the configuration', 'bytes', [150, 300, 600, 1_200].map(measureConfigurationMemory))
    add('time of one edit, by targets', 'ms', [150, 300, 600, 1_200].map(measureEditTime))
    add('time to find an owner, by candidates', 'µs', [50, 100, 200, 400].map(measureOwnerTime))
    add('time of a permit from request to return, by concurrency', 'µs', [8, 16, 32, 64].map(measurePermitTime))
    add('bytes of a load report, by targets', 'bytes', [3, 6, 12, 24].map(measureLoadReportBytes))
    return report
  }
}

/** Applies records to a fold, at positions from 0 on, and returns it. */
function applyRecords<T extends Fold> (state: T, records: Iterable<LogRecord>): T {
  let position = 0
  for (const record of records) {
    state.apply(record, { position, time: position, writer: 'writer' })
    position += 1
  }
  return state
}

/**
 * Returns the records of a number of jobs, from the creation of the input file to the completion of the last item. The
 * epoch of completions is a placeholder that foldJobs() replaces; the offsets of chunks are arbitrary.
 */
function * jobRecords (count: number): Iterable<LogRecord> {
  for (let index = 0; index < count; index++) {
    const file = `file_${String(index).padStart(24, '0')}`
    const job = `batch_${String(index).padStart(24, '0')}`
    const base = { client: 'client', createdAt: 0 } as const
    const chunks = Array.from({ length: Math.ceil(itemsPerJob / linesPerChunk) }, (_, chunk) => ({ offset: index + chunk, lines: linesPerChunk }))
    chunks[chunks.length - 1] = { offset: index, lines: itemsPerJob % linesPerChunk }
    yield { type: RecordType.FileCreated, file, name: 'input.jsonl', purpose: FilePurpose.Batch, bytes: 1, chunks, ...base }
    yield { type: RecordType.JobCreated, job, idempotencyKey: `key-${index}`, inputFile: file, endpoint: '/v1/chat/completions', deadline: 1, completionWindow: '24h', metadata: {}, ...base }
    yield { type: RecordType.JobClaimed, job, owner: 'owner' }
    yield * completionRecords(job, index * 3 + 2)
  }
}

/** Returns the completions of a job's items; `chunk` holds the index of the first item instead of that of a chunk. */
function * completionRecords (job: string, epoch: number): Iterable<LogRecord> {
  for (let first = 0; first < itemsPerJob; first += resultsPerRecord) {
    const items = Array.from({ length: resultsPerRecord }, (_, index) => first + index)
    const tokens = items.map(() => 100)
    yield { type: RecordType.ItemsCompleted, job, epoch, chunk: first, subject: 'model', failed: false, items, promptTokens: tokens, completionTokens: tokens }
  }
}

/** Folds the records of jobs. The epoch of completions is the position of the claim before them. */
function foldJobs (count: number): JobsFold {
  const state = new JobsFold()
  let position = 0
  let claim = 0
  for (const record of jobRecords(count)) {
    claim = record.type === RecordType.JobClaimed ? position : claim
    const applied = record.type === RecordType.ItemsCompleted ? { ...record, epoch: claim } : record
    state.apply(applied, { position, time: position, writer: 'writer' })
    position += 1
  }
  return state
}

function measureJobMemory (size: number): Point {
  return { size, value: measureRetainedBytes(() => foldJobs(size)).bytes }
}

function measureJobTime (size: number): Point {
  return { size, value: measureMilliseconds(() => { foldJobs(size) }) }
}

function measureJobSnapshotBytes (size: number): Point {
  return { size, value: new FoldedStream(foldJobs(size)).serialize().byteLength }
}

function * chargeRecords (count: number): Iterable<LogRecord> {
  const usage = { requests: 1, promptTokens: 100, completionTokens: 100 }
  for (let index = 0; index < count; index++) {
    yield { type: RecordType.Charged, charge: `request_${String(index).padStart(24, '0')}`, keyed: false, client: 'client', subject: 'model', usage }
  }
}

function measureChargeMemory (size: number): Point {
  return { size, value: measureRetainedBytes(() => applyRecords(new LedgerFold(), chargeRecords(size))).bytes }
}

function measureChargeTime (size: number): Point {
  return { size, value: measureMilliseconds(() => { applyRecords(new LedgerFold(), chargeRecords(size)) }) }
}

function createConfiguration (targets: number): ConfigurationFold {
  // Plans, models and targets are in the list `usage`; clients are in the list `plans`.
  const usageSections: SectionEdit[] = [
    { section: 'plan standard', base: 0, body: 'requests-per-minute = 1000\ntokens-per-minute = 100000\nconcurrency = 10\nmodels = model' },
    { section: 'model model', base: 0, body: 'context-tokens = 8192' },
    ...Array.from({ length: targets }, (_, index) => ({ section: `target target-${index}`, base: 0, body: 'model = model\nconcurrency = 16\nchecks-fencing = true' }))
  ]
  const planSections = Array.from({ length: Math.round(targets * clientsPerTarget) }, (_, index) => {
    return { section: `client client-${index}`, base: 0, body: `plan = standard\nkey-hashes = sha256:${'0'.repeat(64)}` }
  })
  const edit = (list: ListName, sections: readonly SectionEdit[]): LogRecord => {
    return { type: RecordType.ConfigurationEdited, edit: list, list, operator: 'operator', sections }
  }
  return applyRecords(new ConfigurationFold(), [edit(ListName.Usage, usageSections), edit(ListName.Plans, planSections)])
}

function measureConfigurationMemory (size: number): Point {
  return { size, value: measureRetainedBytes(() => createConfiguration(size)).bytes }
}

function measureEditTime (size: number): Point {
  const state = createConfiguration(size)
  // Repeats the edit more often at smaller sizes, where a single edit is too short to measure well.
  const edits = Math.ceil(20 * maximumTargets / size)
  let revision = state.sections(ListName.Usage).find(section => section.name === 'model model')?.revision ?? 0
  const milliseconds = measureMilliseconds(() => {
    for (let index = 0; index < edits; index++) {
      const position = 10 + index
      state.apply({
        type: RecordType.ConfigurationEdited,
        edit: `edit-${index}`,
        list: ListName.Usage,
        operator: 'operator',
        sections: [{ section: 'model model', base: revision, body: `context-tokens = ${index + 1}` }]
      }, { position, time: position, writer: 'writer' })
      revision = position + 1
    }
  })
  return { size, value: milliseconds / edits }
}

function measureOwnerTime (size: number): Point {
  const candidates = Array.from({ length: size }, (_, index) => ({ id: `i${index}.scheduler`, zone: 'a' }))
  const count = repetitions / 10
  const milliseconds = measureMilliseconds(() => {
    for (let index = 0; index < count; index++) {
      ownerOf(`target-${index}`, candidates, 'a')
    }
  })
  return { size, value: milliseconds / count * microsecondsPerMillisecond }
}

function measurePermitTime (size: number): Point {
  const admission = new TargetAdmission('target', { concurrency: size, headroom: 1 })
  const request = { holder: 'holder', client: 'client', cost: { promptTokens: 1, completionTokens: 1 }, patience: 1_000, slack: 0, weight: 1 }
  // Batch work occupies half of the slots throughout, while online requests are granted and released.
  for (let index = 0; index < size / 2; index++) {
    admission.request({ ...request, permit: `batch-${index}`, workClass: WorkClass.Batch }, 0)
  }
  const milliseconds = measureMilliseconds(() => {
    for (let index = 0; index < repetitions; index++) {
      const permit = `online-${index}`
      admission.request({ ...request, permit, workClass: WorkClass.Online }, index)
      admission.release(permit, { timeToFirstToken: 10, timeBetweenTokens: 10 }, index)
      if (index % 100 === 0) {
        // tick() gets the time `index` seconds, request() and release() the time `index` milliseconds.
        admission.tick(index * millisecondsPerSecond)
      }
    }
  })
  return { size, value: milliseconds / repetitions * microsecondsPerMillisecond }
}

function measureLoadReportBytes (size: number): Point {
  const targets = Array.from({ length: size }, (_, index) => {
    return new TargetAdmission(`target-${index}`, { concurrency: 16, headroom: 1 }).load()
  })
  return { size, value: encode({ type: 'load-report', targets }).byteLength }
}

/** Returns the duration of an action in milliseconds. Records that the action generates lazily count too. */
function measureMilliseconds (action: () => void): number {
  const startedAt = performance.now()
  action()
  return performance.now() - startedAt
}
