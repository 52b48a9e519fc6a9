/** Names of the streams that the system keeps in the log service. */
export const StreamName = {
  /** Edits of the plans and usage lists. */
  Configuration: 'configuration',
  /** Files, jobs, claims, completions and cancellations. */
  Jobs: 'jobs',
  /** Online charges, intents and outcomes of calls that may not be repeated. */
  Ledger: 'ledger',
  /** Job inputs and results, read by offset. */
  Chunks: 'chunks'
} as const

export type StreamName = typeof StreamName[keyof typeof StreamName]

/** Name of the stream that holds the snapshots of a stream's fold. */
export function snapshotStreamOf (stream: string): string {
  return `${stream}.snapshots`
}
