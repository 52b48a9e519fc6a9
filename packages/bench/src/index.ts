/** Measurements of the system, which `arbutus-bench` runs by name. */
export { measurements } from './measures/index.js'
export type { Measurement } from './measures/measure.js'
