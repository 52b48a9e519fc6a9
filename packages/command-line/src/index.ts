/** Command line for operators and clients. */
export { commands } from './commands/index.js'
export { planEdits } from './plan-edits.js'
export type { EditPlan } from './plan-edits.js'
