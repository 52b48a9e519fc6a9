/** Reading of batches' results. */
import { until } from '@arbutusloft/development'
import type { ReadResults } from '../checkers/check-items.js'
import type { Caller } from './caller.js'

const inProgress = 'in_progress'

/** Waits for a batch's end and reads its results, again where a process is just recovering. */
export async function readResults (caller: Caller, job: string, items: readonly string[]): Promise<ReadResults> {
  let lines: readonly string[] = []
  await until(`${job} has ended and can be read`, async () => {
    const batch = await caller.getBatch(job)
    if (batch['status'] === inProgress) {
      return false
    }
    lines = [...await caller.lines(batch['output_file_id']), ...await caller.lines(batch['error_file_id'])]
    return true
  })
  return { job, items, lines }
}
