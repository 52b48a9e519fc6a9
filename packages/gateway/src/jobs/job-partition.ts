/** One of the partitions among which jobs are divided. */
import type { KeyedTopic } from '../log/keyed-topic.js'
import { KeyedFollower } from '../log/keyed-follower.js'
import type { Logger } from '../util/logger.js'
import { JobLog } from './job-log.js'
import { JobsFold } from './jobs-fold.js'

/** Time until a partition with a job that could not be read is loaded anew; doubles each time that this does not help. */
const initialReloadMilliseconds = 2_000
const maximumReloadMilliseconds = 64_000

/** The jobs of a partition, as far as they are known, and the way to change them. Nothing is read before the first {@link refresh}. */
export class JobPartition {
  readonly fold: JobsFold
  readonly log: JobLog
  readonly #follower: KeyedFollower
  /** Time from which the partition is loaded anew because of a job that could not be read, by the clock of `performance`. */
  #reloadAt = -Infinity
  #reloadMilliseconds = initialReloadMilliseconds

  constructor (readonly number: number, topic: KeyedTopic, logger: Logger) {
    this.fold = new JobsFold(logger)
    const options = { name: `jobs/${number}`, waitMilliseconds: 0, pauseMilliseconds: () => 0 }
    this.#follower = new KeyedFollower(topic, options, (records, isReset) => { this.fold.apply(records, isReset) }, logger)
    this.log = new JobLog(topic, this.#follower, this.fold, logger)
  }

  /** Whether the jobs were read at least once. */
  get isLoaded (): boolean {
    return this.#follower.position !== null
  }

  /** Offset up to which the partition is known, or null if it was not read yet. */
  get position (): number | null {
    return this.#follower.position
  }

  /** Milliseconds since the time up to which the partition is known; `Infinity` if it was not read yet. */
  get ageMilliseconds (): number {
    return this.#follower.ageMilliseconds
  }

  /** Milliseconds for which this process has been trying in vain to read the partition; 0 if the latest read succeeded. */
  get outageMilliseconds (): number {
    return this.#follower.outageMilliseconds
  }

  /** Whether everything that was appended before this time, by the clock of `performance`, is known. */
  isFreshSince (time: number): boolean {
    return this.#follower.isFreshSince(time)
  }

  /** Reads what was appended, or all records if one could not be applied; returns whether that succeeded. */
  async refresh (): Promise<boolean> {
    const now = performance.now()
    if (!this.fold.hasUnreadable && this.isLoaded) {
      this.#reloadMilliseconds = initialReloadMilliseconds
    } else if (this.isLoaded && now >= this.#reloadAt) {
      this.#reloadAt = now + this.#reloadMilliseconds
      this.#reloadMilliseconds = Math.min(maximumReloadMilliseconds, 2 * this.#reloadMilliseconds)
      this.#follower.forget()
    }
    return await this.#follower.refresh()
  }

  close (): void {
    this.log.close()
    this.#follower.close()
  }
}
