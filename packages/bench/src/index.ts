/** Measurements of the system, which `arbutus-bench` runs by name. */
export { measures } from './measures/index.js'
export type { Measure } from './measures/measure.js'
