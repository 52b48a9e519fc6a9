/**
 * State of files and jobs.
 *
 * Snapshots contain these interfaces as they are, so property names are part of the stored format.
 */
import type { ChunkReference, FileCreated, JobCreated, Usage } from '@arbutusloft/protocol'
import type { ItemSet } from '../util/item-set.js'

/** A chunk of lines that belongs to a file or to a job's results. */
export interface StoredChunk {
  /** Offset in the chunks stream; changes when the chunk is copied forward before its retention ends. */
  offset: number
  /** Number of lines in the chunk. */
  readonly lines: number
  /** Log time, in epoch milliseconds, of the record that refers to the chunk; the chunk itself is not newer. */
  time: number
}

/** A client's file, whose lines are in the chunks stream. */
export interface FileState {
  readonly created: Omit<FileCreated, 'type' | 'chunks'>
  /** Number of lines in all chunks. */
  readonly lines: number
  readonly chunks: readonly StoredChunk[]
  /** Log time of the creation, in epoch milliseconds. */
  readonly time: number
}

/** A chunk that holds results of items, one item a line. */
export interface ResultChunk extends StoredChunk {
  /** Whether the lines belong to the error file instead of the output file. */
  readonly failed: boolean
  /** Indexes of the lines that count, or null if all do. A line whose item already has a result does not count. */
  readonly accepted: readonly number[] | null
}

/** The process that runs a job, according to the last claim. */
export interface JobClaim {
  /** Member name of the claiming process. */
  readonly owner: string
  /** Incarnation of the claiming process; a restarted process has another one. */
  readonly writer: string
  /** Position of the claim's record, which serves as the fencing token of the items it runs. */
  readonly epoch: number
}

/** Status of a job. */
export const JobStatus = {
  InProgress: 'in_progress',
  Completed: 'completed',
  Cancelled: 'cancelled'
} as const

export type JobStatus = typeof JobStatus[keyof typeof JobStatus]

/** A job's state according to the log. */
export interface JobState {
  readonly created: Omit<JobCreated, 'type'>
  /** Number of items. */
  readonly total: number
  /** The last claim, or null before the first. */
  claim: JobClaim | null
  status: JobStatus
  /** Items whose result is recorded. */
  readonly done: ItemSet
  /** Number of items whose result is in the error file. */
  failed: number
  /**
   * Non-idempotent items that may have been sent to a target, each with the epoch of its first intent.
   * Only the claim with that epoch may send the item.
   */
  readonly intents: Map<number, number>
  readonly results: ResultChunk[]
  /** Sum over the items that completed without an error. */
  usage: Usage
  /** Log time of the creation, in epoch milliseconds. */
  readonly time: number
  /** Log time of the completion or cancellation, or null while the job is in progress. */
  endedAt: number | null
  /** Log time of the first claim, or null before it. */
  startedAt: number | null
}

/** Returns the state of a new job. */
export function createJobState (
  created: Omit<JobCreated, 'type'>,
  total: number,
  time: number,
  done: ItemSet
): JobState {
  return {
    created,
    total,
    claim: null,
    status: JobStatus.InProgress,
    done,
    failed: 0,
    intents: new Map(),
    results: [],
    usage: { requests: 0, promptTokens: 0, completionTokens: 0 },
    time,
    endedAt: null,
    startedAt: null
  }
}

/** Returns the chunks with the log time of the record that refers to them. */
export function toStoredChunks (chunks: readonly ChunkReference[], time: number): readonly StoredChunk[] {
  return chunks.map(chunk => ({ offset: chunk.offset, lines: chunk.lines, time }))
}
