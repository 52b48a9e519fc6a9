/** Why a request of a client account was refused or waits, as its order among the others tells. The names are sent between processes, and written to logs and metrics. */

/** What put a request behind others. */
export const OrderCause = {
  /** Requests of higher ranks. */
  Rank: 'rank',
  /** Requests of accounts of its rank that have used less of their share. */
  Share: 'share',
  /** Neither: there are too few slots whatever its place. */
  Load: 'load'
} as const
export type OrderCause = typeof OrderCause[keyof typeof OrderCause]

/** Place of a request among those that wait. */
export interface QueueStanding {
  readonly cause: OrderCause
  /** As in {@link SlotCaller}. */
  readonly rank: number
  /** Position in the order, counted from 1. */
  readonly position: number
}

/** Ranks from this one on share one label of metrics, which bounds the number of series. */
const maximumRankLabel = 8

/** Returns the label of a rank in metrics: the rank itself if it is a whole number below 8, else `others`. */
export function rankLabelOf (rank: number): string {
  return Number.isInteger(rank) && rank >= 0 && rank < maximumRankLabel ? String(rank) : 'others'
}

/** Returns the fields of a message or result that tell a place, if there is one. */
export function standingOf (standing: QueueStanding | null | undefined): { readonly standing?: QueueStanding } {
  return standing === null || standing === undefined ? {} : { standing }
}

const causes: ReadonlySet<unknown> = new Set(Object.values(OrderCause))

/** Returns what another process told of a place; null if it told nothing, or something that this build does not know. */
export function receivedStanding (value: unknown): QueueStanding | null {
  if (typeof value !== 'object' || value === null || !('cause' in value) || !('rank' in value) || !('position' in value)) {
    return null
  }
  const { cause, rank, position } = value
  return isOrderCause(cause) && typeof rank === 'number' && typeof position === 'number' ? { cause, rank, position } : null
}

function isOrderCause (value: unknown): value is OrderCause {
  return causes.has(value)
}
