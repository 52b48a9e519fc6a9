/** Encoding of batch jobs as records of the jobs topic. */
import { Packr } from 'msgpackr/pack'
import type { KeyedRecord, NewRecord } from '../log/keyed-topic.js'
import { decodePart, decodeSubmission } from './decode-submission.js'
import { ItemState } from './job.js'
import type { Job, JobItem, JobSubmission } from './job.js'

/** Kinds of records; the value is the first part of a record's key. */
export const JobRecordKind = {
  Bodies: 'b',
  Submission: 's',
  Result: 'r',
  End: 'e'
} as const
export type JobRecordKind = typeof JobRecordKind[keyof typeof JobRecordKind]

/** A part of the concatenated bodies of a submission; precedes the submission in the same append. */
export interface BodiesRecord {
  readonly kind: typeof JobRecordKind.Bodies
  readonly job: string
  /** Index of the part. */
  readonly part: number
  readonly bytes: Buffer
}

/** An accepted job without the bodies of its items. */
export interface SubmissionRecord {
  readonly kind: typeof JobRecordKind.Submission
  readonly job: string
  readonly route: string
  /** See {@link Job.acceptedAt}. */
  readonly acceptedAt: number
  /** See {@link Job.acceptedBy}. */
  readonly acceptedBy: string
  /** Number of records that hold the bodies of the items. */
  readonly parts: number
  /** Name of the client account; left out without one, and by builds that knew no accounts. */
  readonly account?: string
  readonly items: ReadonlyArray<Omit<JobItem, 'body'> & { readonly bodyBytes: number }>
}

/** The result of an item. */
export interface ResultRecord {
  readonly kind: typeof JobRecordKind.Result
  readonly job: string
  readonly index: number
  readonly state: ItemState
  readonly text: string
}

/** Records that a client has ended a job. */
export interface EndRecord {
  readonly kind: typeof JobRecordKind.End
  readonly job: string
}

export type JobRecord = BodiesRecord | SubmissionRecord | ResultRecord | EndRecord

const packr = new Packr({ useRecords: false })
/** Bytes of bodies in one record; the store accepts records of up to a quarter of a megabyte. */
const maximumPartBytes = 200_000
const completedFlag = 1
const abandonedFlag = 0

/** Encodes a submission as records, the bodies first. */
export function submissionRecords (submission: JobSubmission, acceptedAt: number, acceptedBy: string): readonly NewRecord[] {
  const bodies = Buffer.concat(submission.items.map(item => item.body))
  const records: NewRecord[] = []
  for (let start = 0; start < bodies.length; start += maximumPartBytes) {
    const key = `${JobRecordKind.Bodies}/${submission.id}/${records.length}`
    records.push({ key, value: bodies.subarray(start, start + maximumPartBytes) })
  }
  const items = submission.items.map(({ id, path, headers, tokens, body }) => ({ id, path, headers, tokens, bodyBytes: body.length }))
  const { route, account } = submission
  const value = packr.pack({ route, acceptedAt, acceptedBy, parts: records.length, items, ...(account === undefined ? {} : { account }) })
  return [...records, { key: `${JobRecordKind.Submission}/${submission.id}`, value }]
}

/** Encodes a result: one byte for the state, then the text. */
export function resultRecord (job: string, index: number, state: ItemState, text: string): NewRecord {
  const flag = Buffer.of(state === ItemState.Completed ? completedFlag : abandonedFlag)
  return { key: `${JobRecordKind.Result}/${job}/${index}`, value: Buffer.concat([flag, Buffer.from(text)]) }
}

/** Encodes the end of a job; its value is never read, but must not be null, which would delete the key. */
export function endRecord (job: string): NewRecord {
  return { key: `${JobRecordKind.End}/${job}`, value: Buffer.of(completedFlag) }
}

/**
 * Returns tombstones for all keys of a job. The submission comes last, and the fold keeps the job until then, so that a
 * job is deleted completely or not at all.
 */
export function tombstoneRecords (job: Job): readonly NewRecord[] {
  const results = job.results.map(({ index }) => `${JobRecordKind.Result}/${job.id}/${index}`)
  const bodies = Array.from({ length: job.bodyParts }, (_, part) => `${JobRecordKind.Bodies}/${job.id}/${part}`)
  const ends = job.ended ? [`${JobRecordKind.End}/${job.id}`] : []
  return [...results, ...bodies, ...ends, `${JobRecordKind.Submission}/${job.id}`].map(key => ({ key, value: null }))
}

/** Decodes a record; returns null for a tombstone or an unknown kind, and throws if it is not what {@link submissionRecords} and the others encode. */
export function parseJobRecord ({ key, value }: KeyedRecord): JobRecord | null {
  const [kind, job, indexText] = key.split('/')
  if (value === null || job === undefined) {
    return null
  }
  switch (kind) {
    case JobRecordKind.Bodies:
      return { kind, job, part: decodePart(indexText), bytes: value }
    case JobRecordKind.Submission:
      return { kind, job, ...decodeSubmission(packr.unpack(value)) }
    case JobRecordKind.Result:
      return {
        kind,
        job,
        index: Number(indexText),
        state: value[0] === completedFlag ? ItemState.Completed : ItemState.Abandoned,
        text: value.toString('utf8', 1)
      }
    case JobRecordKind.End:
      return { kind, job }
    default:
      return null
  }
}
