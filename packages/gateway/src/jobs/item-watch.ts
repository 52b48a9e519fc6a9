/** Compares the items that should run in this process with those that do. */
import { isSettled } from './job.js'
import type { Job } from './job.js'
import type { JobsFold } from './jobs-fold.js'

/** One item of a job. */
export interface ItemPosition {
  readonly job: Job
  /** Index of the item in the submission. */
  readonly index: number
}

/** Returns the unfinished items without a run. Takes time in proportion to the items of unsettled jobs; `hasRun` is asked for unfinished ones only. */
export function itemsWithoutRun (unsettled: Iterable<Job>, hasRun: (job: Job, index: number) => boolean): readonly ItemPosition[] {
  const missing: ItemPosition[] = []
  for (const job of unsettled) {
    if (isSettled(job)) {
      continue
    }
    for (const index of job.items.keys()) {
      if (!job.finished.has(index) && !hasRun(job, index)) {
        missing.push({ job, index })
      }
    }
  }
  return missing
}

/**
 * Whether the item needs no run any more: it has a result, or its job has ended or was deleted. A job with a record that cannot be read
 * may still need one.
 */
export function isRunSuperfluous (fold: Pick<JobsFold, 'get' | 'isUnreadable'>, jobId: string, index: number): boolean {
  const job = fold.get(jobId)
  return job === undefined ? !fold.isUnreadable(jobId) : isSettled(job) || job.finished.has(index)
}
