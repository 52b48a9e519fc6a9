/** Registry of measurements. */
import { configurationMeasurement } from './configuration.js'
import { controlSlopesMeasurement } from './control-slopes.js'
import { largeJobMeasurement } from './large-job.js'
import type { Measurement } from './measure.js'
import { overheadMeasurement } from './overhead.js'
import { scenarioMeasurements } from './scenario-measure.js'
import { stateSlopesMeasurement } from './state-slopes.js'

/** All measurements that `arbutus-bench` can run. */
export const measurements: readonly Measurement[] = [
  overheadMeasurement,
  largeJobMeasurement,
  stateSlopesMeasurement,
  controlSlopesMeasurement,
  configurationMeasurement,
  ...scenarioMeasurements
]
