/** The scheduler process: owns targets and clients' limits, and grants permits. */
export { startScheduler } from './scheduler.js'
export type { Scheduler } from './scheduler.js'
