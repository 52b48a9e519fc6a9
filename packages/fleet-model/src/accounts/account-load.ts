/** Loads of client accounts that share the targets of one service. Times are in milliseconds from the start. */

/** A client account. */
export interface LoadAccount {
  readonly name: string
  /** 0 is the highest. */
  readonly rank: number
  /** Mean requests a second. */
  readonly perSecond: number
  /** Tokens of each request. */
  readonly tokens: number
}

/** A time in which one account sends a multiple of its usual load. */
export interface AccountFlood {
  readonly account: string
  readonly from: number
  readonly to: number
  readonly factor: number
}

/** A load. */
export interface AccountLoad {
  readonly accounts: readonly LoadAccount[]
  readonly targets: number
  readonly slotsOfTarget: number
  readonly milliseconds: number
  /** Mean time for which a request holds its slot. */
  readonly holdMilliseconds: number
  /** Time that a request may wait for a slot until its answer would be late. */
  readonly patienceMilliseconds: number
  /** Factors of the rate of all accounts; each applies from a time on. */
  readonly steps: ReadonlyArray<readonly [from: number, factor: number]>
  readonly floods: readonly AccountFlood[]
  /** Whether requests name their accounts; without, the order is that of first attempts. */
  readonly namesAccounts: boolean
  /** Times at which a new owner without state takes over, told only of the slots that are held. */
  readonly takeovers: readonly number[]
}

/** What became of one request of a client. */
export interface AccountRequest {
  readonly account: string
  readonly arrivedAt: number
  /** Time of the grant, or null if every attempt was refused or the load ended before. */
  grantedAt: number | null
  /** Time of the last attempt. */
  attemptedAt: number
  refusals: number
}

/** Returns accounts whose rates follow a Zipf law: the account at index i has a rate in proportion to (i + 1) to the power of -exponent. */
export function zipfAccounts (count: number, exponent: number, perSecond: number, rankOf: (index: number) => number, tokens = 1_000): readonly LoadAccount[] {
  const weights = Array.from({ length: count }, (_, index) => (index + 1) ** -exponent)
  const sum = weights.reduce((total, weight) => total + weight, 0)
  return weights.map((weight, index) => ({ name: `account-${index}`, rank: rankOf(index), perSecond: perSecond * weight / sum, tokens }))
}

/** Returns steps that alternate between a low and a high factor until the given time, the low one first. */
export function alternatingSteps (low: readonly [factor: number, milliseconds: number], high: readonly [factor: number, milliseconds: number], milliseconds: number): AccountLoad['steps'] {
  const steps: Array<readonly [number, number]> = []
  for (let from = 0; from < milliseconds; from += low[1] + high[1]) {
    steps.push([from, low[0]], [from + low[1], high[0]])
  }
  return steps
}
