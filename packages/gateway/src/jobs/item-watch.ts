/** Finds the items that should run in this process and do not. */
import { isSettled } from './job.js'
import type { Job } from './job.js'

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
