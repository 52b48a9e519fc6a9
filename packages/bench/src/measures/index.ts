/** Registry of measurements. */
import { largeJobMeasure } from './large-job.js'
import type { Measure } from './measure.js'
import { overheadMeasure } from './overhead.js'

/** Every measurement that the bench can run. */
export const measures: readonly Measure[] = [
  overheadMeasure,
  largeJobMeasure
]
