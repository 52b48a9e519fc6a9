/** A batch job and its items, as recorded in the log. */

/** Final states of an item. */
export const ItemState = {
  Completed: 'completed',
  /** Failed permanently, or its retention passed or its route was removed before it finished. */
  Abandoned: 'abandoned'
} as const
export type ItemState = typeof ItemState[keyof typeof ItemState]

/** One request of a job. */
export interface JobItem {
  readonly id: string
  readonly path: string
  /** Names and values alternating. */
  readonly headers: readonly string[]
  readonly body: Buffer
  /** Tokens of the prompt and of the longest possible response. */
  readonly tokens: number
}

/** A job as a client submits it. */
export interface JobSubmission {
  readonly id: string
  /** Name of the route. */
  readonly route: string
  readonly items: readonly JobItem[]
  /** Name of the client account that it belongs to; left out if it belongs to none. */
  readonly account?: string
}

/** Result of an item; its position among the job's results never changes. */
export interface ItemResult {
  /** Index of the item in the submission. */
  readonly index: number
  readonly id: string
  readonly state: ItemState
  /** Data of all events, separated by line feeds; empty if abandoned. */
  readonly text: string
}

/** An accepted job. */
export interface Job extends JobSubmission {
  /** Time of acceptance, in milliseconds since the epoch, by the clock of the accepting instance. */
  readonly acceptedAt: number
  /** Process that accepted the job, as `address/incarnation`; it runs the job while it is ready. */
  readonly acceptedBy: string
  /** Number of records that hold the bodies of the items. */
  readonly bodyParts: number
  /** In the order of their records. */
  readonly results: ItemResult[]
  /** Indexes of items that have a result. */
  readonly finished: Set<number>
  /** Whether a client has ended the job. */
  ended: boolean
}

/** Whether the job was ended or all of its items have a result. */
export function isSettled (job: Job): boolean {
  return job.ended || job.finished.size === job.items.length
}
