/** The batch process: claims jobs, runs their items and records the results. */
export { startBatch } from './batch.js'
export type { Batch } from './batch.js'
