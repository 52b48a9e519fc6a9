/** State of files and jobs. */
import type { ChunkReference, FileCreated, JobCreated, Usage } from '@arbutusloft/protocol'
import type { ItemSet } from '../util/item-set.js'

/** A chunk that a file or job refers to. */
export interface StoredChunk {
  /** Offset in the chunks stream. */
  offset: number
  readonly lines: number
  /** Epoch milliseconds of the log at or after which the chunk was written. */
  time: number
}

/** A file in the chunks stream. */
export interface FileState {
  readonly created: Omit<FileCreated, 'type' | 'chunks'>
  readonly lines: number
  readonly chunks: readonly StoredChunk[]
  /** Log time of creation. */
  readonly time: number
}

/** Results of items in one chunk. */
export interface ResultChunk extends StoredChunk {
  readonly failed: boolean
  /** Lines that count, or null if all do. */
  readonly accepted: readonly number[] | null
}

/** Who runs a job, by the last claim. */
export interface JobClaim {
  /** Member name of the claiming process. */
  readonly owner: string
  /** Incarnation of the claiming process. */
  readonly writer: string
  /** Position of the claim's record. */
  readonly epoch: number
}

/** Where a job stands. */
export const JobStatus = {
  InProgress: 'in_progress',
  Completed: 'completed',
  Cancelled: 'cancelled'
} as const

export type JobStatus = typeof JobStatus[keyof typeof JobStatus]

/** A job and all that the log says of it. */
export interface JobState {
  readonly created: Omit<JobCreated, 'type'>
  /** Number of items. */
  readonly total: number
  claim: JobClaim | null
  status: JobStatus
  /** Items with a completion that counts. */
  readonly done: ItemSet
  /** Number of items that ended in the error file. */
  failed: number
  /** Items that may not be repeated, by the epoch of the intent that counts. */
  readonly intents: Map<number, number>
  readonly results: ResultChunk[]
  usage: Usage
  /** Log time of creation. */
  readonly time: number
  /** Log time of the end, or null. */
  endedAt: number | null
  /** Log time of the first claim, or null. */
  startedAt: number | null
}

/** A new job's state. */
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

/** References as stored, with the time of the record that names them. */
export function storedChunks (chunks: readonly ChunkReference[], time: number): readonly StoredChunk[] {
  return chunks.map(chunk => ({ offset: chunk.offset, lines: chunk.lines, time }))
}
