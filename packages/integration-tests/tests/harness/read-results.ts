/** Reading of batches' results. */
import type { ReadResults } from '../checkers/check-items.js'
import type { Caller } from './caller.js'
import { until } from './until.js'

/** Waits for a batch's end and reads its results. */
export async function readResults (caller: Caller, job: string, items: readonly string[]): Promise<ReadResults> {
  await until(`${job} has ended`, async () => (await caller.getBatch(job))['status'] !== 'in_progress')
  const batch = await caller.getBatch(job)
  const lines = [...await caller.lines(batch['output_file_id']), ...await caller.lines(batch['error_file_id'])]
  return { job, items, lines }
}
