/** Registry of measurements. */
import { configurationMeasure } from './configuration.js'
import { controlSlopesMeasure } from './control-slopes.js'
import { largeJobMeasure } from './large-job.js'
import type { Measure } from './measure.js'
import { overheadMeasure } from './overhead.js'
import { scenarioMeasures } from './scenario-measure.js'
import { stateSlopesMeasure } from './state-slopes.js'

/** All measurements that `arbutus-bench` can run. */
export const measures: readonly Measure[] = [
  overheadMeasure,
  largeJobMeasure,
  stateSlopesMeasure,
  controlSlopesMeasure,
  configurationMeasure,
  ...scenarioMeasures
]
