/** The batch object of the OpenAI API. */
import { JobStatus } from '@arbutusloft/state'
import type { JobState } from '@arbutusloft/state'
import { ResultKind, resultFileId } from '../files/file-object.js'

/** A batch job as the API shows it. */
export interface BatchObject {
  readonly id: string
  readonly object: 'batch'
  readonly [field: string]: unknown
}

const millisecondsPerSecond = 1_000

/** Returns a job's batch object; times are in epoch seconds. */
export function batchObject (job: JobState): BatchObject {
  const { created } = job
  const completed = job.done.size - job.failed
  return {
    id: created.job,
    object: 'batch',
    endpoint: created.endpoint,
    errors: null,
    input_file_id: created.inputFile,
    completion_window: created.completionWindow,
    status: job.status,
    output_file_id: completed > 0 ? resultFileId(created.job, ResultKind.Output) : null,
    error_file_id: job.failed > 0 ? resultFileId(created.job, ResultKind.Error) : null,
    created_at: toEpochSeconds(created.createdAt),
    in_progress_at: toEpochSeconds(job.startedAt),
    expires_at: toEpochSeconds(created.deadline),
    completed_at: job.status === JobStatus.Completed ? toEpochSeconds(job.endedAt) : null,
    cancelled_at: job.status === JobStatus.Cancelled ? toEpochSeconds(job.endedAt) : null,
    request_counts: { total: job.total, completed, failed: job.failed },
    metadata: created.metadata
  }
}

function toEpochSeconds (milliseconds: number | null): number | null {
  return milliseconds === null ? null : Math.floor(milliseconds / millisecondsPerSecond)
}
