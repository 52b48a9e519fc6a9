/** Records of the jobs stream. */
import type { RecordType } from './record-type.js'

/** Purposes of files, as in the OpenAI API. */
export const FilePurpose = {
  /** Input of a batch job, uploaded by a client. */
  Batch: 'batch',
  /** Results of a batch job. */
  BatchOutput: 'batch_output'
} as const

export type FilePurpose = typeof FilePurpose[keyof typeof FilePurpose]

/** Reference to a chunk record that holds consecutive lines of a file. */
export interface ChunkReference {
  /** Offset in the chunks stream. */
  readonly offset: number
  /** Number of lines in the chunk. */
  readonly lines: number
}

/** A client uploaded a file; all of its chunks are stored. */
export interface FileCreated {
  readonly type: typeof RecordType.FileCreated
  readonly file: string
  readonly client: string
  readonly name: string
  readonly purpose: FilePurpose
  readonly bytes: number
  readonly chunks: readonly ChunkReference[]
  /** Epoch milliseconds at the entry, reported to the client only; no decision depends on it. */
  readonly createdAt: number
}

/** A client deleted a file. */
export interface FileDeleted {
  readonly type: typeof RecordType.FileDeleted
  readonly file: string
  readonly client: string
}

/** A job was accepted. Of several records with the same idempotency key of a client, only the first counts. */
export interface JobCreated {
  readonly type: typeof RecordType.JobCreated
  readonly job: string
  readonly client: string
  readonly idempotencyKey: string | null
  readonly inputFile: string
  readonly endpoint: string
  /** Epoch milliseconds by which the job should be finished. */
  readonly deadline: number
  /** The completion window as the client wrote it, such as `24h`. */
  readonly completionWindow: string
  readonly metadata: Readonly<Record<string, string>>
  /** Epoch milliseconds at the entry. */
  readonly createdAt: number
}

/**
 * A batch process claims a job. The record's position in the stream (the offset of its entry, then its index in the entry)
 * is the claim's epoch, the fencing token of later records.
 */
export interface JobClaimed {
  readonly type: typeof RecordType.JobClaimed
  readonly job: string
  /** Member name of the claiming batch process. */
  readonly owner: string
}

/** A client cancelled its job; completions after this record are ignored. */
export interface JobCancelled {
  readonly type: typeof RecordType.JobCancelled
  readonly job: string
  readonly client: string
  readonly cancelledAt: number
}

/** Intent to send non-idempotent items to a target. After a takeover such an item may have run, so it is not sent again. */
export interface ItemsIntended {
  readonly type: typeof RecordType.ItemsIntended
  readonly job: string
  /** Epoch of the claim; a record under an older claim is ignored. */
  readonly epoch: number
  /** Positions in the input file, from 0. */
  readonly items: readonly number[]
}

/** Items finished, and a chunk holds their results. The arrays are parallel, with one element per item. */
export interface ItemsCompleted {
  readonly type: typeof RecordType.ItemsCompleted
  readonly job: string
  /** Epoch of the claim; a record under an older claim is ignored. */
  readonly epoch: number
  /** Offset of the chunk whose lines are the items' results, in the order of `items`. */
  readonly chunk: number
  /** Model or service that the items were sent to. */
  readonly subject: string
  /** Whether the chunk's lines belong to the output file or to the error file. */
  readonly failed: boolean
  /** Positions in the input file, from 0. */
  readonly items: readonly number[]
  readonly promptTokens: readonly number[]
  readonly completionTokens: readonly number[]
}

/** A chunk was copied to the end of the chunks stream, before the log's retention deletes the original. */
export interface ChunkMoved {
  readonly type: typeof RecordType.ChunkMoved
  /** Identifier of the file or job that refers to the chunk. */
  readonly holder: string
  /** Offset of the original in the chunks stream. */
  readonly from: number
  /** Offset of the copy. */
  readonly to: number
}

/** Heartbeat of a batch process that owns jobs; without it other batch processes take the jobs over. */
export interface OwnerHeartbeat {
  readonly type: typeof RecordType.OwnerHeartbeat
  readonly owner: string
}

export type JobRecord =
  | FileCreated
  | FileDeleted
  | JobCreated
  | JobClaimed
  | JobCancelled
  | ItemsIntended
  | ItemsCompleted
  | ChunkMoved
  | OwnerHeartbeat
