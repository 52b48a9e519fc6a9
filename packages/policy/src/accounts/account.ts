/** A client account of the configuration: who sends requests, in what rank, and how many. */
export interface Account {
  readonly name: string
  /** Keys that its requests may carry; secrets, which no log line or metric may hold. */
  readonly keys: readonly string[]
  /** Rank of its requests, which goes before that of their routes; 0 is the highest. Null if the account has none. */
  readonly rank: number | null
  /** Requests a second that it may send, over all instances together; 0 for no limit. */
  readonly requestsPerSecond: number
  /** Requests that it may send beyond that rate within one window; 0 for none. */
  readonly burst: number
}
