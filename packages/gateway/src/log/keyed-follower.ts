/** Follows a keyed topic: loads the newest record of each key, then reads records as they are appended. */
import { messageOf } from '@arbutusloft/protocol'
import type { Logger } from '../util/logger.js'
import { ageOf, laterMark, longAgo } from '../util/clock-mark.js'
import type { ClockMark } from '../util/clock-mark.js'
import { sleep } from '../util/sleep.js'
import { ExpiredOffsetError, PartialLoad } from './keyed-topic.js'
import type { KeyedRecord, KeyedTopic, RecordBatch } from './keyed-topic.js'

/** Options of {@link KeyedFollower}. */
export interface KeyedFollowerOptions {
  /** Name of the topic in log lines. */
  readonly name: string
  /** Milliseconds that a read waits for records; also limits how long an unresponsive store goes unnoticed. */
  readonly waitMilliseconds: number
  /** Returns the milliseconds between a read, which returned records or not, and the next one. */
  readonly pauseMilliseconds: (hasRecords: boolean) => number
  /** Whether to refresh while the answer to a read is overdue, instead of waiting until that read fails; by default not. */
  readonly isUrgent?: () => boolean
}

/**
 * Receives records in the order of their offsets. If `isReset`, they are the complete content of the topic and replace all earlier ones. A
 * listener that throws gets the complete content again.
 */
export type RecordListener = (records: readonly KeyedRecord[], isReset: boolean) => void

/** Minimum delay before a failed read is retried; jitter adds up to the same amount. */
const retryMilliseconds = 100
/** Milliseconds by which the answer to a read has to be late to count as overdue; many times the usual answer time. */
const overdueMilliseconds = 80
/** Delay of the second refresh while the answer to a read is overdue; it doubles with each further one. */
const initialRefreshMilliseconds = 200

/** Passes the records of a topic to a listener, and keeps track of its position and of when the topic was last read to the end. */
export class KeyedFollower {
  #position: number | null = null
  /** Start of the latest successful read, by the clock of `performance`; the listener has received everything that was appended before it. */
  #confirmedAt = -Infinity
  /** Time up to which the latest successful read has shown all records. */
  #shownUntil: ClockMark = longAgo
  /** What a load that failed has read, or null. */
  #partialLoad: PartialLoad | null = null
  /** Start of the first read since the latest one that succeeded, by the clock of `performance`; null if no read has begun since. */
  #unreadSince: number | null = null
  #closed = false
  #reachable = false
  #refreshing: Promise<boolean> | null = null
  /** The refresh that begins when the current one has ended. */
  #nextRefresh: Promise<boolean> | null = null
  readonly #reconnectListeners: Array<() => void> = []
  #endPause: (() => void) | null = null

  constructor (
    private readonly topic: KeyedTopic,
    private readonly options: KeyedFollowerOptions,
    private readonly listener: RecordListener,
    private readonly logger: Logger
  ) {}

  /** Starts to follow the topic in the background. */
  start (): void {
    void this.#follow()
  }

  /** Offset after the last record that the listener received, or null before the first load. */
  get position (): number | null {
    return this.#position
  }

  /** Whether the last read succeeded. */
  get reachable (): boolean {
    return this.#reachable
  }

  /** Whether the listener has received everything that was appended before this time, by the clock of `performance`, which is never set. */
  isFreshSince (time: number): boolean {
    return this.#position !== null && this.#confirmedAt >= time
  }

  /** Milliseconds since the time up to which the listener has received everything; `Infinity` before the first load, negative if the clock was set back. */
  get ageMilliseconds (): number {
    return Date.now() - this.#shownUntil.wall
  }

  /** The same by the clock that shows more: the monotonic clock stands still while the process is stopped, and the wall clock may be set back. */
  get greatestAgeMilliseconds (): number {
    return ageOf(this.#shownUntil)
  }

  /** Milliseconds for which reads have been trying in vain; 0 if the latest one succeeded. */
  get outageMilliseconds (): number {
    return this.#unreadSince === null ? 0 : performance.now() - this.#unreadSince
  }

  /** Reads to the end of the topic; returns true if the listener has then received everything that was appended before the call, and false once closed. */
  async refresh (): Promise<boolean> {
    if (this.#refreshing === null && this.#nextRefresh === null) {
      this.#refreshing = this.#refreshOnce()
      return await this.#refreshing
    }
    // A refresh that has begun may miss records that were appended in between.
    this.#nextRefresh ??= this.#refreshAfter(this.#refreshing)
    return await this.#nextRefresh
  }

  /** Makes the next read load the newest record of each key, which the listener gets in place of all records so far. */
  forget (): void {
    this.#position = null
    this.#partialLoad = null
  }

  /**
   * Passes on records that this process itself has just appended at the current position, which shows that nobody else had
   * appended anything there.
   *
   * @param startedAt time at which the append was sent, by the clock of `performance`
   */
  applyAppended (records: readonly KeyedRecord[], startedAt: number): void {
    const last = records.at(-1)
    if (last === undefined) {
      return
    }
    try {
      this.#apply({ records, end: last.offset + 1, isComplete: true })
      this.#confirmedAt = Math.max(this.#confirmedAt, startedAt)
    } catch {
      // Logged by #pass; the next read loads the topic, which has the records.
    }
  }

  /** Ends a pause between two reads. */
  hurry (): void {
    this.#endPause?.()
  }

  /** Calls the listener when a read succeeds for the first time or after a failure, before any records are passed on. */
  onReconnect (listener: () => void): void {
    this.#reconnectListeners.push(listener)
  }

  close (): void {
    this.#closed = true
    this.hurry()
  }

  async #refreshAfter (current: Promise<boolean> | null): Promise<boolean> {
    await current
    this.#nextRefresh = null
    this.#refreshing = this.#refreshOnce()
    return await this.#refreshing
  }

  async #refreshOnce (): Promise<boolean> {
    try {
      await this.#readOnce(0)
      return !this.#closed
    } catch (error) {
      this.#onReadFailed(error)
      return false
    } finally {
      this.#refreshing = null
    }
  }

  async #follow (): Promise<void> {
    while (!this.#closed) {
      try {
        const before = this.#position
        await this.#readWatched()
        const pause = this.options.pauseMilliseconds(this.#position !== before)
        if (pause > 0) {
          await this.#pause(pause)
        }
      } catch (error) {
        this.#onReadFailed(error)
        await sleep(retryMilliseconds * (1 + Math.random()))
      }
    }
  }

  /** Reads once, and refreshes meanwhile if the answer is overdue and the topic urgent. */
  async #readWatched (): Promise<void> {
    const { waitMilliseconds, isUrgent } = this.options
    if (isUrgent?.() !== true || this.#position === null) {
      await this.#readOnce(waitMilliseconds)
      return
    }
    let delay = initialRefreshMilliseconds
    const refresh = (): void => {
      void this.refresh().then(() => {
        if (timer !== null) {
          timer = setTimeout(refresh, delay)
          delay *= 2
        }
      })
    }
    let timer: NodeJS.Timeout | null = setTimeout(refresh, waitMilliseconds + overdueMilliseconds)
    try {
      await this.#readOnce(waitMilliseconds)
    } finally {
      clearTimeout(timer)
      timer = null
    }
  }

  async #pause (milliseconds: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, milliseconds)
      this.#endPause = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    this.#endPause = null
  }

  async #readOnce (waitMilliseconds: number): Promise<void> {
    const startedAt = Date.now()
    const startedAtSteady = performance.now()
    this.#unreadSince ??= startedAtSteady
    const before = this.#position
    let isAtEnd = false
    // One read returns only a part if there is much to read.
    for (let wait = waitMilliseconds; !isAtEnd; wait = 0) {
      isAtEnd = this.#position === null ? await this.#loadNewest() : await this.#readOrLoad(this.#position, wait)
    }
    this.#confirmedAt = Math.max(this.#confirmedAt, startedAtSteady)
    this.#unreadSince = null
    // The store answers without records only when the wait is over.
    const start: ClockMark = { wall: startedAt, steady: startedAtSteady }
    this.#shownUntil = this.#position === before && before !== null ? laterMark(start, waitMilliseconds) : start
  }

  /** Reads once, or loads the newest records if the wanted ones have expired; returns whether the listener has received everything up to the end of the topic. */
  async #readOrLoad (position: number, waitMilliseconds: number): Promise<boolean> {
    let batch: RecordBatch
    try {
      batch = await this.topic.read(position, waitMilliseconds)
    } catch (error) {
      if (!(error instanceof ExpiredOffsetError)) {
        throw error
      }
      this.logger.info('records expired, loading again', { topic: this.options.name, position })
      this.#position = null
      return await this.#loadNewest()
    }
    this.#onReadSucceeded()
    this.#apply(batch)
    return this.#closed || (batch.isComplete && this.#position !== null && this.#position >= batch.end)
  }

  #onReadSucceeded (): void {
    if (this.#reachable || this.#closed) {
      return
    }
    this.#reachable = true
    this.logger.info('store reached', { topic: this.options.name, position: this.#position })
    for (const listener of this.#reconnectListeners) {
      listener()
    }
  }

  /**
   * Loads the newest records. Returns false if records may be missing that were appended before the call: the load goes on from a failed
   * one, or another load has ended meanwhile, which may have begun earlier and is kept.
   */
  async #loadNewest (): Promise<boolean> {
    const { records, end, isComplete } = await this.#readNewest()
    if (this.#closed || this.#position !== null) {
      return this.#closed
    }
    this.#onReadSucceeded()
    this.#position = end
    this.#pass([...records].sort((left, right) => left.offset - right.offset), true)
    return isComplete
  }

  /** Reads the newest records, and logs how long that took. What a read that fails has got is kept for the next one. */
  async #readNewest (): Promise<RecordBatch> {
    const startedAt = performance.now()
    const topic = this.options.name
    const partial = this.#partialLoad ?? new PartialLoad()
    this.#partialLoad = null
    try {
      const batch = await this.topic.newest(partial)
      const bytes = batch.records.reduce((sum, record) => sum + (record.value?.length ?? 0), 0)
      this.logger.info('records loaded', { topic, milliseconds: Math.round(performance.now() - startedAt), records: batch.records.length, bytes, end: batch.end })
      return batch
    } catch (error) {
      if (partial.end !== null) {
        this.#partialLoad = partial
      }
      this.logger.warn('records not loaded', { topic, milliseconds: Math.round(performance.now() - startedAt), kept: partial.records.length, error: messageOf(error) })
      throw error
    }
  }

  #apply ({ records, end }: RecordBatch): void {
    if (this.#closed || this.#position === null || end <= this.#position) {
      return
    }
    const from = this.#position
    const newRecords = records.filter(record => record.offset >= from)
    this.#position = end
    if (newRecords.length > 0) {
      this.#pass(newRecords, false)
    }
  }

  /** Passes records to the listener. If it throws, it may lack some of them for good, so the next read loads the topic. */
  #pass (records: readonly KeyedRecord[], isReset: boolean): void {
    try {
      this.listener(records, isReset)
    } catch (error) {
      this.logger.error('records not applied, loading again', { topic: this.options.name, from: records[0]?.offset ?? null, records: records.length, error: messageOf(error) })
      this.forget()
      throw error
    }
  }

  #onReadFailed (error: unknown): void {
    if (this.#reachable && !this.#closed) {
      this.#reachable = false
      this.logger.warn('store lost', { topic: this.options.name, position: this.#position, error: messageOf(error) })
    }
  }
}
