/** Records of batch jobs: a submission with its bodies, a result, an end. */
import { Packr } from 'msgpackr'
import type { KeyedRecord, NewRecord } from '../log/keyed-topic.js'
import { ItemState } from './job.js'
import type { Job, JobItem, JobSubmission } from './job.js'

/** Kinds of records, by the first letter of their keys. */
export const JobRecordKind = {
  Bodies: 'b',
  Submission: 's',
  Result: 'r',
  End: 'e'
} as const
export type JobRecordKind = typeof JobRecordKind[keyof typeof JobRecordKind]

/** A part of the bodies of a submission, in front of it in the same append. */
export interface BodiesRecord {
  readonly kind: typeof JobRecordKind.Bodies
  readonly job: string
  readonly part: number
  readonly bytes: Buffer
}

export interface SubmissionRecord {
  readonly kind: typeof JobRecordKind.Submission
  readonly job: string
  readonly route: string
  readonly acceptedAt: number
  readonly acceptedBy: string
  readonly parts: number
  readonly items: ReadonlyArray<Omit<JobItem, 'body'> & { readonly bodyBytes: number }>
}

export interface ResultRecord {
  readonly kind: typeof JobRecordKind.Result
  readonly job: string
  readonly index: number
  readonly state: ItemState
  readonly text: string
}

export interface EndRecord {
  readonly kind: typeof JobRecordKind.End
  readonly job: string
}

export type JobRecord = BodiesRecord | SubmissionRecord | ResultRecord | EndRecord

const packr = new Packr({ useRecords: false })
/** Bytes of bodies in one record; the store takes a quarter of a megabyte. */
const partBytes = 200_000
const completedMark = 1
const abandonedMark = 0

/** Records of a submission, the bodies first. */
export function submissionRecords (submission: JobSubmission, acceptedAt: number, acceptedBy: string): readonly NewRecord[] {
  const bodies = Buffer.concat(submission.items.map(item => item.body))
  const records: NewRecord[] = []
  for (let start = 0; start < bodies.length; start += partBytes) {
    const key = `${JobRecordKind.Bodies}/${submission.id}/${records.length}`
    records.push({ key, value: bodies.subarray(start, start + partBytes) })
  }
  const items = submission.items.map(({ id, path, headers, tokens, body }) => ({ id, path, headers, tokens, bodyBytes: body.length }))
  const value = packr.pack({ route: submission.route, acceptedAt, acceptedBy, parts: records.length, items })
  return [...records, { key: `${JobRecordKind.Submission}/${submission.id}`, value }]
}

/** Record of a result. */
export function resultRecord (job: string, index: number, state: ItemState, text: string): NewRecord {
  const mark = Buffer.of(state === ItemState.Completed ? completedMark : abandonedMark)
  return { key: `${JobRecordKind.Result}/${job}/${index}`, value: Buffer.concat([mark, Buffer.from(text)]) }
}

/** Record of an end. */
export function endRecord (job: string): NewRecord {
  return { key: `${JobRecordKind.End}/${job}`, value: Buffer.of(completedMark) }
}

/** Records that drop all keys of a job, its submission last, so that a job is dropped whole or not at all. */
export function dropRecords (job: Job): readonly NewRecord[] {
  const results = job.results.map(({ index }) => `${JobRecordKind.Result}/${job.id}/${index}`)
  const bodies = Array.from({ length: job.bodyParts }, (_, part) => `${JobRecordKind.Bodies}/${job.id}/${part}`)
  const ends = job.ended ? [`${JobRecordKind.End}/${job.id}`] : []
  return [...results, ...bodies, ...ends, `${JobRecordKind.Submission}/${job.id}`].map(key => ({ key, value: null }))
}

/** Reads a record; null if it is not one of these, or its key was dropped. */
export function parseJobRecord ({ key, value }: KeyedRecord): JobRecord | null {
  const [kind, job, number] = key.split('/')
  if (value === null || job === undefined) {
    return null
  }
  switch (kind) {
    case JobRecordKind.Bodies:
      return { kind, job, part: Number(number), bytes: value }
    case JobRecordKind.Submission:
      return { kind, job, ...packr.unpack(value) as Omit<SubmissionRecord, 'kind' | 'job'> }
    case JobRecordKind.Result:
      return {
        kind,
        job,
        index: Number(number),
        state: value[0] === completedMark ? ItemState.Completed : ItemState.Abandoned,
        text: value.toString('utf8', 1)
      }
    case JobRecordKind.End:
      return { kind, job }
    default:
      return null
  }
}
