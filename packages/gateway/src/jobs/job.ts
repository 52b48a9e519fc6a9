/** A batch job and its items, as the log tells them. */

/** Final states of an item. */
export const ItemState = {
  Completed: 'completed',
  /** Given up: it cannot be done, or its time is over. */
  Abandoned: 'abandoned'
} as const
export type ItemState = typeof ItemState[keyof typeof ItemState]

/** One request of a job. */
export interface JobItem {
  readonly id: string
  readonly path: string
  /** Names and values by turns. */
  readonly headers: readonly string[]
  readonly body: Buffer
  /** Tokens of the prompt and of the longest answer. */
  readonly tokens: number
}

/** What a client submits. */
export interface JobSubmission {
  readonly id: string
  /** Name of the route. */
  readonly route: string
  readonly items: readonly JobItem[]
}

/** A result at a fixed position. */
export interface ItemResult {
  /** Index of the item in the submission. */
  readonly index: number
  readonly id: string
  readonly state: ItemState
  /** Data of all events with line feeds between them; empty if abandoned. */
  readonly text: string
}

/** An accepted job. */
export interface Job extends JobSubmission {
  /** Time of acceptance, in milliseconds since the epoch, by the clock of the accepting instance. */
  readonly acceptedAt: number
  /** Process that accepted it, as `address/incarnation`; it runs the job while it lives. */
  readonly acceptedBy: string
  /** Number of records that hold its bodies. */
  readonly bodyParts: number
  /** In the order of their records. */
  readonly results: ItemResult[]
  /** Indexes of items that have a result. */
  readonly finished: Set<number>
  /** Whether a client has ended it. */
  ended: boolean
}

/** Whether nothing is left to be done. */
export function isSettled (job: Job): boolean {
  return job.ended || job.finished.size === job.items.length
}
