/** Carries a fold's state forward before the log's retention takes its records. */
import type { LogService } from '@arbutusloft/adapters'
import { snapshotStreamOf } from '@arbutusloft/protocol'
import { splitSnapshot } from '@arbutusloft/state'
import type { Logger } from '../create-logger.js'
import type { StreamFollower } from './stream-follower.js'

/** Options of {@link SnapshotKeeper}. */
export interface SnapshotKeeperOptions {
  readonly log: LogService
  readonly stream: string
  readonly follower: StreamFollower
  readonly logger: Logger
  /** Milliseconds between snapshots; a part of the log's retention. */
  readonly periodMilliseconds: number
  /** Greatest entry of the log, in bytes. */
  readonly entryBytes: number
  /** Whether it is this process's turn; when two think so, one snapshot more is written. */
  readonly isOwner: () => boolean
}

/** Bytes of an entry left for what stands around a snapshot part. */
const partOverheadBytes = 512

/** Writes a snapshot every period. A snapshot is derived data, so any process may write it. */
export class SnapshotKeeper {
  readonly #timer: NodeJS.Timeout

  constructor (private readonly options: SnapshotKeeperOptions) {
    this.#timer = setInterval(() => { void this.#keep() }, options.periodMilliseconds)
  }

  /** Writes a snapshot now; returns whether all of its parts were acknowledged. */
  async write (): Promise<boolean> {
    const { log, stream, follower, entryBytes } = this.options
    const snapshot = { through: follower.next, data: follower.serialize() }
    for (const part of splitSnapshot(snapshot, entryBytes - partOverheadBytes)) {
      const result = await log.append(snapshotStreamOf(stream), part)
      if (result.err) {
        this.options.logger.warn('snapshot not written', { stream, error: result.val })
        return false
      }
    }
    return true
  }

  close (): void {
    clearInterval(this.#timer)
  }

  async #keep (): Promise<void> {
    if (this.options.follower.caughtUp && this.options.isOwner()) {
      await this.write()
    }
  }
}
