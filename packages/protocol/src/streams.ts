/** Names of the system's streams in the log service. */
export const StreamName = {
  /** Operators' edits of the configuration. */
  Configuration: 'configuration',
  /** Files and batch jobs: creation, claims, completions, cancellations. */
  Jobs: 'jobs',
  /** Charges for online requests, and intents and outcomes of non-idempotent calls. */
  Ledger: 'ledger',
  /** Lines of job inputs and results, read by offset and not folded. */
  Chunks: 'chunks'
} as const

export type StreamName = typeof StreamName[keyof typeof StreamName]

/** Returns the name of the stream that holds the snapshots of a stream's fold. */
export function snapshotStreamOf (stream: string): string {
  return `${stream}.snapshots`
}
