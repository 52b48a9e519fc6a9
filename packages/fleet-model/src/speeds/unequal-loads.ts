/** Loads on targets of unequal speed, after the users' second deployment: 39 targets of 8 slots in 3 zones, and noise in 15 of 100 answers. */
import type { BatchKind, FleetLoad, OnlineKind } from '../fleet-load.js'

const targets = 39
const slotsOfTarget = 8
const millisecondsPerSecond = 1_000
const milliseconds = 40_000
/** Share of the load that items make. */
const batchShare = 0.35
const itemsPerJob = 8

const question: OnlineKind = {
  name: 'question',
  perSecond: 0,
  objectiveMilliseconds: 305,
  deadlineMilliseconds: 5_000,
  holdMilliseconds: 500,
  firstEventMilliseconds: 25,
  worth: 1.9,
  lateWorth: 0.28,
  isResumable: false
}

const notes: BatchKind = { itemsPerSecond: 0, itemsPerJob, holdMilliseconds: 7_000, dueMilliseconds: 25_000, worth: 11, lateWorth: 1.1 }

export const unequalSpeeds: readonly number[] = [0.7, 0.7, 1.7]
const noise = { share: 0.15, factor: 2.5 }
/** Share of its time by which each other busy slot makes an answer take longer. */
const slowdownPerSlot = 0.02

/**
 * Returns a load that needs a share of the capacity.
 *
 * @param share of the work that all targets can do with all slots in use
 * @param speeds of the targets of each zone in turn
 */
export function unequalLoad (share: number, speeds: readonly number[] = unequalSpeeds): FleetLoad {
  const meanSpeed = speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length
  const meanNoise = 1 + noise.share * (noise.factor - 1)
  const slots = targets * slotsOfTarget * meanSpeed / (meanNoise * (1 + slowdownPerSlot * (slotsOfTarget - 1))) * share
  return {
    name: `unequal-${share}`,
    description: `targets of speeds ${speeds.join(', ')}, at ${share} of their capacity`,
    targets,
    slotsOfTarget,
    milliseconds,
    steps: [[0, 1]],
    online: [{ ...question, perSecond: slots * (1 - batchShare) * millisecondsPerSecond / question.holdMilliseconds }],
    batch: { ...notes, itemsPerSecond: slots * batchShare * millisecondsPerSecond / notes.holdMilliseconds },
    losses: [],
    cuts: [],
    targetSpeeds: speeds,
    noise,
    slowdownPerSlot
  }
}
