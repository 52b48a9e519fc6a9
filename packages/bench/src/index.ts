/** The experiment tool: measurements by name. */
export { measures } from './measures/index.js'
export type { Measure } from './measures/measure.js'
