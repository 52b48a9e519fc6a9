/** Whether the list of targets is recent enough to grant slots from. */
import type { Logger } from '../util/logger.js'

/** Where the list of targets comes from. */
export interface TargetSource {
  /** Milliseconds since the time up to which the list shows all changes; negative if the clock was set back. */
  readonly ageMilliseconds: number
  /** Brings the list up to date; returns false if the store was not reached, neither directly nor through peers. */
  refresh: () => Promise<boolean>
}

/** Options of {@link TargetFreshness}. */
export interface TargetFreshnessOptions {
  readonly source: TargetSource
  /** Age in milliseconds up to which the list may be used without reading it again. */
  readonly maximumAgeMilliseconds: number
  readonly logger: Logger
}

/**
 * Time before the maximum age at which a refresh begins: longer than a refresh takes that finds nobody with access to the store, so that slots need
 * not wait for it. While the store was silent, they waited for 0.9 s.
 */
const refreshAheadMilliseconds = 950
/** Age below which a list is not read again: lists that are followed reach it while nothing changes. */
const minimumRefreshAgeMilliseconds = 900
/** Time after a refresh that found nobody with access to the store until the next one begins; slots are granted meanwhile. */
const retryMilliseconds = 300
/** Longer than a refresh takes unless the process is paused. */
const pausedMilliseconds = 2_000

/** Time within which {@link TargetFreshness.confirm} reads the list: several round trips to the store, and the way through a peer. */
const confirmMilliseconds = 150

/** Reads the list again when it is asked for and too old. */
export class TargetFreshness {
  #options: TargetFreshnessOptions | null = null
  #isRefreshing = false
  /** Whether the latest refresh found nobody with access to the store, so that nobody knows a later list. */
  #isUnconfirmable = false
  /** Time of the end of that refresh, in milliseconds since the epoch. */
  #failedAt = 0
  readonly #listeners: Array<() => void> = []

  /** Sets the source of the list; before that, any list counts as recent. */
  follow (options: TargetFreshnessOptions): void {
    this.#options = options
  }

  /** Calls the listener when a refresh that {@link check} began has ended. */
  onRefreshed (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** Returns whether slots may be granted from the list; if not, or if it soon will be too old, begins to read it again. */
  check (): boolean {
    if (this.#options === null) {
      return true
    }
    const { source, maximumAgeMilliseconds } = this.#options
    const age = source.ageMilliseconds
    const refreshAge = Math.min(maximumAgeMilliseconds, Math.max(minimumRefreshAgeMilliseconds, maximumAgeMilliseconds - refreshAheadMilliseconds))
    if (age >= 0 && age <= refreshAge) {
      this.#isUnconfirmable = false
      return true
    }
    const sinceFailure = Math.abs(Date.now() - this.#failedAt)
    if (sinceFailure > maximumAgeMilliseconds) {
      // The store may be back since then.
      this.#isUnconfirmable = false
    }
    const mayRefresh = !this.#isUnconfirmable || sinceFailure >= retryMilliseconds
    if (mayRefresh && !this.#isRefreshing) {
      void this.#refresh(this.#options)
    }
    return this.#isUnconfirmable || (age >= 0 && age <= maximumAgeMilliseconds)
  }

  /** Reads the list; resolves with whether it then shows all changes from before the call, and with false if that takes too long. */
  async confirm (): Promise<boolean> {
    if (this.#options === null) {
      return true
    }
    return await new Promise(resolve => {
      const timer = setTimeout(() => { resolve(false) }, confirmMilliseconds)
      void this.#options?.source.refresh().then(isRead => {
        clearTimeout(timer)
        resolve(isRead)
      })
    })
  }

  async #refresh ({ source, maximumAgeMilliseconds, logger }: TargetFreshnessOptions): Promise<void> {
    this.#isRefreshing = true
    const age = source.ageMilliseconds
    logger.info(age >= 0 && age <= maximumAgeMilliseconds ? 'targets nearly out of date' : 'targets out of date, slots wait', { age })
    let startedAt = Date.now()
    let isRead = await source.refresh()
    // A refresh that ends so late was begun before the process was paused, and says nothing about the time since then.
    while (!isRead && Date.now() - startedAt > pausedMilliseconds) {
      startedAt = Date.now()
      isRead = await source.refresh()
    }
    this.#isRefreshing = false
    this.#isUnconfirmable = !isRead
    this.#failedAt = Date.now()
    if (!isRead) {
      logger.warn('targets out of date, no access to the store', { age: source.ageMilliseconds })
    }
    for (const listener of this.#listeners) {
      listener()
    }
  }
}
