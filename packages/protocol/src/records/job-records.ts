/** Records of the jobs stream. */
import type { RecordType } from './record-type.js'

/** What a file holds. */
export const FilePurpose = {
  Batch: 'batch',
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

/** A client's file is stored whole in the chunks stream. */
export interface FileCreated {
  readonly type: typeof RecordType.FileCreated
  readonly file: string
  readonly client: string
  readonly name: string
  readonly purpose: FilePurpose
  readonly bytes: number
  readonly chunks: readonly ChunkReference[]
  /** Epoch milliseconds; reported to the client, decides nothing. */
  readonly createdAt: number
}

/** A client deleted a file. */
export interface FileDeleted {
  readonly type: typeof RecordType.FileDeleted
  readonly file: string
  readonly client: string
}

/** A job is accepted. The first record with a client's idempotency key wins. */
export interface JobCreated {
  readonly type: typeof RecordType.JobCreated
  readonly job: string
  readonly client: string
  readonly idempotencyKey: string | null
  readonly inputFile: string
  readonly endpoint: string
  /** Epoch milliseconds by which the client wants the job finished. */
  readonly deadline: number
  readonly completionWindow: string
  readonly metadata: Readonly<Record<string, string>>
  readonly createdAt: number
}

/** A batch process takes a job; the record's position is the epoch. */
export interface JobClaimed {
  readonly type: typeof RecordType.JobClaimed
  readonly job: string
  /** Instance identifier of the claiming batch process. */
  readonly owner: string
}

/** A client cancelled its job; no completion after this one counts. */
export interface JobCancelled {
  readonly type: typeof RecordType.JobCancelled
  readonly job: string
  readonly client: string
  readonly cancelledAt: number
}

/** Items that may not be repeated are about to be sent to a target. */
export interface ItemsIntended {
  readonly type: typeof RecordType.ItemsIntended
  readonly job: string
  readonly epoch: number
  readonly items: readonly number[]
}

/** Results of items are in a chunk. Parallel arrays, one element for each item. */
export interface ItemsCompleted {
  readonly type: typeof RecordType.ItemsCompleted
  readonly job: string
  readonly epoch: number
  /** Offset of the chunk whose lines are the items' results, in the order of `items`. */
  readonly chunk: number
  /** Model or service that the items used. */
  readonly subject: string
  /** Whether the chunk's lines belong to the output file or to the error file. */
  readonly failed: boolean
  readonly items: readonly number[]
  readonly promptTokens: readonly number[]
  readonly completionTokens: readonly number[]
}

/** A chunk was copied forward before the log's retention took it. */
export interface ChunkMoved {
  readonly type: typeof RecordType.ChunkMoved
  /** File or job that refers to the chunk. */
  readonly holder: string
  readonly from: number
  readonly to: number
}

/** A batch process that has jobs is alive; seen by other batch processes. */
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
