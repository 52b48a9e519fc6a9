/** Scenarios: online requests at seeded arrival times, together with a backlog of batch work. */
import type { EngineCosts } from '@arbutusloft/stand-ins'

/** A load and the engines that serve it. */
export interface Scenario {
  readonly name: string
  readonly description: string
  /** Number of engines. */
  readonly engines: number
  /** Maximum number of requests that an engine runs at once. */
  readonly concurrency: number
  /** Duration of the measured part, in milliseconds. */
  readonly milliseconds: number
  /** Duration of the warm-up before it, in which policies adapt and engines fill, in milliseconds. */
  readonly warmUpMilliseconds: number
  /** Maximum length of an online answer, in tokens. */
  readonly onlineTokens: number
  /** Maximum length of the answer to a batch item, in tokens. */
  readonly batchTokens: number
  /** Costs of a step of the engines. */
  readonly costs: EngineCosts
  /** Returns the number of online requests per second at a time in milliseconds. */
  readonly rate: (at: number) => number
}

const millisecondsPerSecond = 1_000
const costs: EngineCosts = { stepMilliseconds: 20, sequenceMilliseconds: 0.15, contextMilliseconds: 0.1, prefillMilliseconds: 0.02 }
const base = { costs, engines: 4, concurrency: 16, milliseconds: 5_000, warmUpMilliseconds: 2_500, onlineTokens: 16, batchTokens: 32 } as const

/** Returns whether a time lies in the part of a repeating period that begins at `from`. */
function within (at: number, period: number, from: number, length: number): boolean {
  const phase = at % period
  return phase >= from && phase < from + length
}

/** All scenarios that the bench can run. */
export const scenarios: readonly Scenario[] = [
  {
    ...base,
    name: 'steady',
    description: 'online at a steady rate',
    rate: () => 30
  },
  {
    ...base,
    name: 'burst',
    description: 'online bursts of ten times the rate for half a second',
    rate: at => within(at, 2 * millisecondsPerSecond, millisecondsPerSecond, millisecondsPerSecond / 2) ? 100 : 10
  },
  {
    ...base,
    name: 'idle-gaps',
    description: 'online stops for seconds at a time',
    rate: at => within(at, 3 * millisecondsPerSecond, 0, millisecondsPerSecond) ? 60 : 0
  },
  {
    ...base,
    name: 'heavy-steps',
    description: 'engines whose steps exceed the bound on gaps when they are full',
    costs: { ...costs, sequenceMilliseconds: 5 },
    rate: () => 15
  }
]
