/** Conversion of the jobs fold's state to the form that snapshots contain, and back. */
import type { ChargeLine } from '../util/charge-table.js'
import { ItemSet } from '../util/item-set.js'
import type { FileState, JobState } from './job-state.js'

/** The part of the fold's state that is serialized. */
export interface JobsFoldState {
  readonly files: ReadonlyMap<string, FileState>
  readonly jobs: ReadonlyMap<string, JobState>
  readonly charges: readonly ChargeLine[]
}

interface SerializedJob extends Omit<JobState, 'done' | 'intents'> {
  readonly done: Uint8Array
  readonly intents: ReadonlyArray<readonly [number, number]>
}

interface SerializedJobs {
  readonly files: ReadonlyArray<readonly [string, FileState]>
  readonly jobs: ReadonlyArray<readonly [string, SerializedJob]>
  readonly charges: readonly ChargeLine[]
}

/** Returns the state as a value that MessagePack can encode: maps as arrays of pairs, item sets as bitmaps. */
export function serializeJobs (state: JobsFoldState): unknown {
  const jobs = [...state.jobs].map(([id, job]) => [id, serializeJob(job)] as const)
  const serialized: SerializedJobs = { files: [...state.files], jobs, charges: state.charges }
  return serialized
}

/** Returns the state from a value made by {@link serializeJobs}. */
export function deserializeJobs (state: unknown): JobsFoldState {
  const serialized = state as SerializedJobs
  const jobs = serialized.jobs.map(([id, job]) => [id, deserializeJob(job)] as const)
  return { files: new Map(serialized.files), jobs: new Map(jobs), charges: serialized.charges }
}

function serializeJob (job: JobState): SerializedJob {
  return { ...job, done: job.done.toBytes(), intents: [...job.intents] }
}

function deserializeJob (job: SerializedJob): JobState {
  // The decoded bytes are a view of the whole snapshot; a copy allows the snapshot to be garbage-collected.
  return { ...job, done: new ItemSet(Uint8Array.from(job.done)), intents: new Map(job.intents) }
}
