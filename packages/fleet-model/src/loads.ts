/** Registry of loads, after the heaviest days of the users' deployments. */
import type { BatchKind, FleetLoad, OnlineKind } from './fleet-load.js'

const millisecondsPerSecond = 1_000

/** Bursts of 2.8 s at 1.84 times the mean rate, 3.8 s apart at 0.38 times the mean rate. */
function burstsUntil (seconds: number): ReadonlyArray<readonly [number, number]> {
  const steps: Array<readonly [number, number]> = []
  for (let at = 0; at < seconds; at += 6.6) {
    steps.push([at * millisecondsPerSecond, 0.377], [(at + 3.8) * millisecondsPerSecond, 1.84])
  }
  return steps
}

const seconds = 52
const base = {
  slotsOfTarget: 7,
  milliseconds: seconds * millisecondsPerSecond,
  steps: burstsUntil(seconds),
  cuts: []
} as const

const question: OnlineKind = {
  name: 'question',
  perSecond: 193,
  objectiveMilliseconds: 300,
  deadlineMilliseconds: 5_000,
  holdMilliseconds: 720,
  firstEventMilliseconds: 25,
  worth: 1.9,
  lateWorth: 0.28,
  isResumable: false
}

const check: OnlineKind = { ...question, name: 'check', perSecond: 28, isResumable: true }

const notes: BatchKind = {
  itemsPerSecond: 27.6,
  itemsPerJob: 10,
  holdMilliseconds: 5_000,
  dueMilliseconds: 18_000,
  worth: 11,
  lateWorth: 1.1
}

/** All loads that the model can play. */
export const fleetLoads: readonly FleetLoad[] = [
  {
    ...base,
    name: 'bursts',
    description: 'bursts that take all slots for seconds, beside batch jobs; on average nine tenths of the slots are needed',
    targets: 47,
    online: [question, check],
    batch: notes,
    losses: []
  },
  {
    ...base,
    name: 'bursts-beyond-slots',
    description: 'the same after a sixth of the targets was taken away: bursts are a fifth beyond all slots, and batch work has no room for all items',
    targets: 42,
    online: [question, check],
    batch: notes,
    losses: [{ at: 14_000, forMilliseconds: Infinity, share: 0.17, isAnnounced: true }]
  },
  {
    ...base,
    name: 'crash-in-bursts',
    description: 'a fifth of the targets crashes twice for four seconds',
    targets: 47,
    online: [question, check],
    batch: notes,
    losses: [{ at: 4_500, forMilliseconds: 4_000, share: 0.2, isAnnounced: false }, { at: 17_500, forMilliseconds: 4_000, share: 0.2, isAnnounced: false }]
  },
  {
    ...base,
    name: 'batch-beyond-slots',
    description: 'a third more batch work than the slots that online requests leave have room for',
    targets: 47,
    online: [question, check],
    batch: { ...notes, itemsPerSecond: 45 },
    losses: []
  },
  {
    ...base,
    name: 'cut-instances',
    description: 'most instances are cut off from all targets, then a third: connections hang, then are refused; there is more batch work than slots',
    targets: 47,
    online: [question, check],
    batch: { ...notes, itemsPerSecond: 45 },
    losses: [],
    cuts: [{ at: 8_000, forMilliseconds: 12_000, share: 0.6, isHanging: true }, { at: 28_000, forMilliseconds: 12_000, share: 0.34, isHanging: false }]
  },
  {
    ...base,
    name: 'steps',
    description: 'the first deployment: 39 targets of 8 slots, 183 online requests and 22.4 items a second',
    targets: 39,
    slotsOfTarget: 8,
    online: [{ ...question, perSecond: 183, holdMilliseconds: 800 }],
    batch: { ...notes, itemsPerSecond: 22.4, holdMilliseconds: 6_000 },
    losses: []
  }
]
