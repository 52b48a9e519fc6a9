/** Periodic snapshots of a fold's state, which replace the records that the log's retention deletes. */
import type { LogService } from '@arbutusloft/adapters'
import { snapshotStreamOf } from '@arbutusloft/protocol'
import { splitSnapshot } from '@arbutusloft/state'
import type { Logger } from '../create-logger.js'
import type { StreamFollower } from './stream-follower.js'

/** Options of {@link SnapshotWriter}. */
export interface SnapshotWriterOptions {
  readonly log: LogService
  readonly stream: string
  readonly follower: StreamFollower
  readonly logger: Logger
  /** Milliseconds between snapshots; a fraction of the log's retention, so that a snapshot exists before the log deletes the records. */
  readonly intervalMilliseconds: number
  /** Maximum size of a log entry in bytes. */
  readonly entryBytes: number
  /**
   * Returns whether this process writes the snapshots. Processes with different instance lists may both
   * do so, which only adds a snapshot.
   */
  readonly isOwner: () => boolean
}

/** Bytes of an entry reserved for the encoding of a snapshot part's other fields. */
const partOverheadBytes = 512

/** Writes a snapshot at a fixed interval. Snapshots are derived from the log, so any process may write them. */
export class SnapshotWriter {
  readonly #timer: NodeJS.Timeout

  constructor (private readonly options: SnapshotWriterOptions) {
    this.#timer = setInterval(() => { void this.#writeIfOwner() }, options.intervalMilliseconds)
  }

  /** Writes a snapshot now and returns whether the log acknowledged all of its parts. */
  async write (): Promise<boolean> {
    const { log, stream, follower, entryBytes } = this.options
    const snapshot = { through: follower.next, data: follower.serialize() }
    for (const part of splitSnapshot(snapshot, entryBytes - partOverheadBytes)) {
      const result = await log.append(snapshotStreamOf(stream), part)
      if (result.err) {
        this.options.logger.warn('failed to write a snapshot', { stream, error: result.val })
        return false
      }
    }
    return true
  }

  close (): void {
    clearInterval(this.#timer)
  }

  async #writeIfOwner (): Promise<void> {
    if (this.options.follower.caughtUp && this.options.isOwner()) {
      await this.write()
    }
  }
}
