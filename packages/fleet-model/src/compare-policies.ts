/** Plays a load with several policies over many seeds. */
import type { AdmissionPolicy } from './admission-policy.js'
import type { FleetLoad } from './fleet-load.js'
import type { FleetOutcome } from './fleet-outcome.js'
import { simulateFleet } from './simulation/simulate-fleet.js'

/** A policy under a name. */
export interface NamedPolicy {
  readonly name: string
  readonly create: () => AdmissionPolicy
}

/** Mean of a figure over all seeds, and half of the width of its 95% confidence interval. */
export interface Estimate {
  readonly mean: number
  readonly margin: number
}

/** Quantile of the normal distribution for a confidence of 95%. */
const normalQuantile = 1.96

/** Returns the outcomes of a policy for seeds from 1 on. */
export function playSeeds (load: FleetLoad, create: () => AdmissionPolicy, seeds: number): readonly FleetOutcome[] {
  return Array.from({ length: seeds }, (_, index) => simulateFleet(load, create(), index + 1))
}

/** Estimates a figure of the outcomes. */
export function estimate (outcomes: readonly FleetOutcome[], figureOf: (outcome: FleetOutcome) => number): Estimate {
  const figures = outcomes.map(figureOf)
  const mean = figures.reduce((sum, figure) => sum + figure, 0) / figures.length
  const variance = figures.reduce((sum, figure) => sum + (figure - mean) ** 2, 0) / Math.max(1, figures.length - 1)
  return { mean, margin: normalQuantile * Math.sqrt(variance / figures.length) }
}
