/** Reads the results of batches. */
import { waitUntil } from '@arbutusloft/development'
import type { JobResults } from '../checkers/check-items.js'
import type { Caller } from './caller.js'

const inProgress = 'in_progress'

/** Waits until the batch with the id `job` has ended and returns its result lines. Retries failed requests, since a process may be recovering. */
export async function waitForResults (caller: Caller, job: string, items: readonly string[]): Promise<JobResults> {
  let lines: readonly string[] = []
  await waitUntil(`batch ${job} has ended and its results can be read`, async () => {
    const batch = await caller.getBatch(job)
    if (batch['status'] === inProgress) {
      return false
    }
    lines = [...await caller.lines(batch['output_file_id']), ...await caller.lines(batch['error_file_id'])]
    return true
  })
  return { job, items, lines }
}
