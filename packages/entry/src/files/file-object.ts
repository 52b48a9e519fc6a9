/** The file objects of the OpenAI API: uploaded files, and the results of each job as two further files. */
import { FilePurpose } from '@arbutusloft/protocol'
import { JobStatus } from '@arbutusloft/state'
import type { FileState, JobState, StoredChunk, JobsFold } from '@arbutusloft/state'

/** The two result files of a job: successful and failed items. */
export const ResultKind = {
  Output: 'output',
  Error: 'error'
} as const

export type ResultKind = typeof ResultKind[keyof typeof ResultKind]

/** A chunk with the lines of it that belong to a file. */
export interface ContentPart {
  readonly chunk: StoredChunk
  /** Indexes of the chunk's lines that belong to the file, or null if all do. */
  readonly lines: readonly number[] | null
}

/** A file as its client sees it, with its content. */
export interface FileView {
  readonly object: FileObject
  readonly parts: readonly ContentPart[]
  /** Whether the content is complete: no further results will be added. */
  readonly final: boolean
}

/** A file as the API shows it. */
export interface FileObject {
  readonly id: string
  readonly object: 'file'
  readonly bytes: number
  readonly created_at: number
  readonly filename: string
  readonly purpose: string
  readonly status: 'processed'
}

const millisecondsPerSecond = 1_000
const resultPattern = /^file-(batch_[0-9a-f]+)-(output|error)$/

/** Returns the identifier of a job's result file. */
export function resultFileId (job: string, kind: ResultKind): string {
  return `file-${job}-${kind}`
}

/** Returns the client's uploaded file or result file with the identifier, or null. */
export function findFile (fold: JobsFold, client: string, id: string): FileView | null {
  const file = fold.files.get(id)
  if (file !== undefined) {
    return file.created.client === client ? uploadedFileView(file) : null
  }
  const [, jobId, kind] = resultPattern.exec(id) ?? []
  const job = fold.jobs.get(jobId ?? '')
  return job?.created.client === client ? resultFileView(job, kind as ResultKind) : null
}

/** Returns the view of an uploaded file. */
export function uploadedFileView (file: FileState): FileView {
  const { created } = file
  return {
    object: {
      id: created.file,
      object: 'file',
      bytes: created.bytes,
      created_at: Math.floor(created.createdAt / millisecondsPerSecond),
      filename: created.name,
      purpose: created.purpose,
      status: 'processed'
    },
    parts: file.chunks.map(chunk => ({ chunk, lines: null })),
    final: true
  }
}

/** Returns the view of the results that a job has so far. Its size in bytes is not computed and always 0. */
export function resultFileView (job: JobState, kind: ResultKind): FileView {
  const { created } = job
  const failed = kind === ResultKind.Error
  return {
    object: {
      id: resultFileId(created.job, kind),
      object: 'file',
      bytes: 0,
      created_at: Math.floor((job.endedAt ?? job.time) / millisecondsPerSecond),
      filename: `${created.job}-${kind}.jsonl`,
      purpose: FilePurpose.BatchOutput,
      status: 'processed'
    },
    parts: job.results
      .filter(result => result.failed === failed)
      .map(result => ({ chunk: result, lines: result.accepted })),
    final: job.status !== JobStatus.InProgress
  }
}
