/** Failed runs of a partition's items, and when each item may be started again. */
import type { ItemProgress } from './item-progress.js'
import type { Job } from './job.js'

/** Delay after the first failure of an item's run; it doubles with each further one. */
const initialDelayMilliseconds = 200
/** Upper bound of that delay. */
const maximumDelayMilliseconds = 5_000

/** Failures of one item's runs in a row. */
export interface RunFailure {
  readonly job: string
  /** Index of the item in the submission. */
  readonly index: number
  readonly failures: number
  /** Time from which the item may be started again, in milliseconds since the epoch. */
  readonly retryAt: number
  /** Progress from which the next run goes on, or null if it begins with the first event. */
  readonly progress: ItemProgress | null
}

/** Keeps the failures of items without a result whose latest run has failed. */
export class RunFailures {
  readonly #failures = new Map<string, RunFailure>()

  /**
   * Records a failure. The next run does not go on from progress with which the run before has failed as well.
   *
   * @param progress events that the failed run had
   * @param now in milliseconds since the epoch
   */
  record (job: Pick<Job, 'id'>, index: number, progress: ItemProgress | null, now: number): RunFailure {
    const known = this.get(job, index)
    const failures = (known?.failures ?? 0) + 1
    const hasNewEvents = progress !== null && progress.lastId !== known?.progress?.lastId
    const delay = Math.min(maximumDelayMilliseconds, initialDelayMilliseconds * 2 ** (failures - 1))
    const failure = { job: job.id, index, failures, retryAt: now + delay, progress: hasNewEvents ? progress : null }
    this.#failures.set(keyOf(job, index), failure)
    return failure
  }

  /** Returns the latest failure of an item, or undefined if there is none. */
  get (job: Pick<Job, 'id'>, index: number): RunFailure | undefined {
    return this.#failures.get(keyOf(job, index))
  }

  all (): Iterable<RunFailure> {
    return this.#failures.values()
  }

  delete (job: Pick<Job, 'id'>, index: number): void {
    this.#failures.delete(keyOf(job, index))
  }
}

function keyOf ({ id }: Pick<Job, 'id'>, index: number): string {
  return `${id}/${index}`
}
