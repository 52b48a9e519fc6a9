/** The batch process: claims jobs, runs their items and records completions. */
export { startBatch } from './batch.js'
export type { Batch } from './batch.js'
