/** Scenarios: online requests at seeded arrival times, together with a backlog of batch work. */
import type { EngineCosts } from '@arbutusloft/stand-ins'

/** A load and the engines that serve it. */
export interface Scenario {
  readonly name: string
  readonly description: string
  /** Number of engines. */
  readonly engineCount: number
  /** Maximum number of requests that an engine runs at once. */
  readonly concurrency: number
  /** Duration of the measured part, in milliseconds. */
  readonly measuredMilliseconds: number
  /** Duration of the warm-up before it, in which policies adapt and engines fill, in milliseconds. */
  readonly warmUpMilliseconds: number
  /** Maximum length of an online answer, in tokens. */
  readonly onlineTokens: number
  /** Maximum length of the answer to a batch item, in tokens. */
  readonly batchTokens: number
  /** Costs of a step of the engines. */
  readonly costs: EngineCosts
  /** Returns the number of online requests per second at a time in milliseconds. */
  readonly onlineRequestsPerSecond: (atMilliseconds: number) => number
}

const millisecondsPerSecond = 1_000
const costs: EngineCosts = { stepMilliseconds: 20, millisecondsPerSequence: 0.15, millisecondsPerThousandContextTokens: 0.1, millisecondsPerPrefilledToken: 0.02 }
const base = { costs, engineCount: 4, concurrency: 16, measuredMilliseconds: 5_000, warmUpMilliseconds: 2_500, onlineTokens: 16, batchTokens: 32 } as const

/** Returns whether a time lies in the part of a repeating period that begins at `fromMilliseconds`. */
function isWithinPeriod (atMilliseconds: number, periodMilliseconds: number, fromMilliseconds: number, lengthMilliseconds: number): boolean {
  const phase = atMilliseconds % periodMilliseconds
  return phase >= fromMilliseconds && phase < fromMilliseconds + lengthMilliseconds
}

/** All scenarios that the bench can run. */
export const scenarios: readonly Scenario[] = [
  {
    ...base,
    name: 'steady',
    description: 'online at a steady rate',
    onlineRequestsPerSecond: () => 30
  },
  {
    ...base,
    name: 'burst',
    description: 'online bursts of ten times the rate for half a second',
    onlineRequestsPerSecond: at => isWithinPeriod(at, 2 * millisecondsPerSecond, millisecondsPerSecond, millisecondsPerSecond / 2) ? 100 : 10
  },
  {
    ...base,
    name: 'idle-gaps',
    description: 'online stops for seconds at a time',
    onlineRequestsPerSecond: at => isWithinPeriod(at, 3 * millisecondsPerSecond, 0, millisecondsPerSecond) ? 60 : 0
  },
  {
    ...base,
    name: 'heavy-steps',
    description: 'a step of a full engine takes longer than the bound on the time between tokens',
    costs: { ...costs, millisecondsPerSequence: 5 },
    onlineRequestsPerSecond: () => 15
  }
]
