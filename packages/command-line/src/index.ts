/** The command line of operators and users. */
export { commands } from './commands/index.js'
export { planEdits } from './plan-edits.js'
export type { EditPlan } from './plan-edits.js'
