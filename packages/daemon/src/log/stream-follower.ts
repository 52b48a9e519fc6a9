/** A fold that is kept up to date with its stream in the log. */
import type { LogPage, LogService } from '@arbutusloft/adapters'
import { backoffMilliseconds } from '@arbutusloft/policy'
import { snapshotStreamOf } from '@arbutusloft/protocol'
import type { LogRecord } from '@arbutusloft/protocol'
import { decodeSnapshotPart, FoldedStream, decodeNextOffset, SnapshotAssembler } from '@arbutusloft/state'
import type { Fold, RecordContext, StreamEntry } from '@arbutusloft/state'
import type { Logger } from '../create-logger.js'
import { Listeners } from '../util/listeners.js'
import { sleep } from '../util/sleep.js'

/** Options of {@link StreamFollower}. */
export interface StreamFollowerOptions {
  readonly log: LogService
  readonly stream: string
  readonly fold: Fold
  readonly logger: Logger
  /** Milliseconds that the log holds a read open while there are no new entries. */
  readonly pollMilliseconds?: number
}

/** A record that the fold has applied. */
export interface AppliedRecord {
  readonly record: LogRecord
  readonly context: RecordContext
}

const defaultPollMilliseconds = 2_000
/** Maximum number of entries in one read of the log. */
const maximumEntriesPerRead = 200
/** Number of applied entries kept for peers that ask for them. */
const maximumRecentEntries = 256

interface Waiter {
  /** Next offset of the stream at which the wait ends. */
  readonly next: number
  readonly resolve: (reached: boolean) => void
}

/** Restores the latest snapshot of a stream, then applies the stream's entries as they are appended. */
export class StreamFollower {
  readonly #folded: FoldedStream
  readonly #recordListeners = new Listeners<AppliedRecord>()
  readonly #advanceListeners = new Listeners<number>()
  readonly #abort = new AbortController()
  readonly #ready: Promise<void>
  #resolveReady: () => void = () => {}
  #caughtUp = false
  #reachable = false
  #waiters: Waiter[] = []
  #recentEntries: StreamEntry[] = []
  #runLoop: Promise<void> | null = null

  constructor (private readonly options: StreamFollowerOptions) {
    this.#folded = new FoldedStream(options.fold)
    this.#ready = new Promise(resolve => { this.#resolveReady = resolve })
  }

  /** Starts to read the stream; further calls do nothing. */
  start (): void {
    this.#runLoop ??= this.#run()
  }

  /** Resolves when {@link StreamFollower.caughtUp} becomes true. */
  get ready (): Promise<void> {
    return this.#ready
  }

  /** Whether the fold has reached the end of the stream once, or has applied a peer's entries; it may be behind again since. */
  get caughtUp (): boolean {
    return this.#caughtUp
  }

  /** Whether the log answered the last read. */
  get logReachable (): boolean {
    return this.#reachable
  }

  /** Offset of the entry to apply next. */
  get next (): number {
    return this.#folded.next
  }

  /** Calls the listener after each applied record and returns the function that removes it. */
  onRecord (listener: (applied: AppliedRecord) => void): () => void {
    return this.#recordListeners.add(listener)
  }

  /** Calls the listener with the next offset after entries or a snapshot were applied and returns the function that removes it. */
  onAdvance (listener: (next: number) => void): () => void {
    return this.#advanceListeners.add(listener)
  }

  /** Resolves with true once the entry at the offset is applied, or with false at the timeout. */
  async waitFor (offset: number, timeoutMilliseconds: number): Promise<boolean> {
    if (this.next > offset) {
      return true
    }
    return await new Promise(resolve => {
      const waiter: Waiter = {
        next: offset + 1,
        resolve: reached => {
          clearTimeout(timer)
          resolve(reached)
        }
      }
      const timer = setTimeout(() => {
        this.#waiters = this.#waiters.filter(candidate => candidate !== waiter)
        resolve(false)
      }, timeoutMilliseconds)
      this.#waiters.push(waiter)
    })
  }

  /**
   * Applies all entries up to the present end of the stream; resolves with false if the log does not answer,
   * no longer has the next entry, or the time has passed. It makes its own reads, since the
   * connection of the regular read may be stalled.
   */
  async catchUp (timeoutMilliseconds: number): Promise<boolean> {
    const deadline = Date.now() + timeoutMilliseconds
    for (;;) {
      const page = await this.options.log.read(this.options.stream, {
        from: this.next,
        limit: maximumEntriesPerRead,
        waitMilliseconds: 0,
        signal: this.#abort.signal
      })
      if (page.err || page.val.firstOffset > this.next) {
        return false
      }
      this.applyEntries(page.val.entries)
      if (this.next >= page.val.endOffset) {
        return true
      }
      if (Date.now() > deadline) {
        return false
      }
    }
  }

  /** Applies entries read from the log or sent by a peer. Entries after a gap are ignored and read from the log later. */
  applyEntries (entries: readonly StreamEntry[]): void {
    this.#apply(entries.filter(entry => entry.offset >= this.next))
  }

  /** Restores a peer's snapshot if its offset is higher than the fold's. In either case the follower counts as caught up. */
  restorePeerSnapshot (data: Uint8Array): void {
    if (decodeNextOffset(data) > this.next) {
      this.#folded.restore(data)
      this.#recentEntries = []
      this.#notifyAdvance()
    }
    this.#markCaughtUp()
  }

  /** Marks the follower as caught up with a peer that has sent its entries; the peer may itself be behind the log. */
  markCaughtUpByPeer (): void {
    this.#markCaughtUp()
  }

  /** Returns the recently applied entries from an offset on, or null if the first of them is no longer kept. */
  entriesFrom (offset: number): readonly StreamEntry[] | null {
    const first = this.#recentEntries[0]?.offset ?? this.next
    return offset < first ? null : this.#recentEntries.filter(entry => entry.offset >= offset)
  }

  /** Returns the fold's state and offset, encoded for a snapshot. */
  serialize (): Uint8Array {
    return this.#folded.serialize()
  }

  async close (): Promise<void> {
    this.#abort.abort()
    this.#waiters.forEach(waiter => { waiter.resolve(false) })
    this.#waiters = []
    await this.#runLoop
  }

  async #run (): Promise<void> {
    const { signal } = this.#abort
    let failures = 0
    while (!signal.aborted && !await this.#restoreSnapshot(0)) {
      await sleep(backoffMilliseconds(++failures, Math.random()), signal)
    }
    while (!signal.aborted) {
      failures = await this.#readOnce() ? 0 : failures + 1
      if (failures > 0) {
        await sleep(backoffMilliseconds(failures, Math.random()), signal)
      }
    }
  }

  async #readOnce (): Promise<boolean> {
    const page = await this.options.log.read(this.options.stream, {
      from: this.next,
      limit: maximumEntriesPerRead,
      waitMilliseconds: this.#caughtUp ? this.options.pollMilliseconds ?? defaultPollMilliseconds : 0,
      signal: this.#abort.signal
    })
    this.#reachable = page.ok
    if (page.err) {
      return false
    }
    if (page.val.firstOffset > this.next) {
      return await this.#restoreSnapshot(page.val.firstOffset)
    }
    this.#applyPage(page.val)
    return true
  }

  #applyPage (page: LogPage): void {
    this.#apply(page.entries)
    if (this.next >= page.endOffset) {
      this.#markCaughtUp()
    }
  }

  #apply (entries: readonly StreamEntry[]): void {
    let applied = false
    for (const entry of entries) {
      // Skips entries that were applied before or that follow a gap.
      if (entry.offset !== this.next) {
        continue
      }
      this.#folded.apply(entry, (record, context) => { this.#recordListeners.emit({ record, context }) })
      this.#recentEntries.push(entry)
      applied = true
    }
    if (applied) {
      this.#recentEntries = this.#recentEntries.slice(-maximumRecentEntries)
      this.#notifyAdvance()
    }
  }

  #notifyAdvance (): void {
    const next = this.next
    const reached = this.#waiters.filter(waiter => waiter.next <= next)
    this.#waiters = this.#waiters.filter(waiter => waiter.next > next)
    reached.forEach(waiter => { waiter.resolve(true) })
    this.#advanceListeners.emit(next)
  }

  #markCaughtUp (): void {
    if (!this.#caughtUp) {
      this.#caughtUp = true
      this.#resolveReady()
    }
  }

  /**
   * Restores the latest snapshot if it is ahead of the fold. Returns false if the log does not answer, or if
   * neither the fold nor the snapshot reaches the first entry that the log still has.
   *
   * @param firstAvailableOffset offset of that entry
   */
  async #restoreSnapshot (firstAvailableOffset: number): Promise<boolean> {
    const assembler = new SnapshotAssembler()
    const stream = snapshotStreamOf(this.options.stream)
    for (let from = 0; ;) {
      const page = await this.options.log.read(stream, {
        from,
        limit: maximumEntriesPerRead,
        waitMilliseconds: 0,
        signal: this.#abort.signal
      })
      if (page.err) {
        return false
      }
      for (const entry of page.val.entries) {
        const part = decodeSnapshotPart(entry.data)
        if (part.ok) {
          assembler.add(part.val)
        }
      }
      from = Math.max(page.val.firstOffset, (page.val.entries.at(-1)?.offset ?? from - 1) + 1)
      if (from >= page.val.endOffset) {
        break
      }
    }
    const snapshot = assembler.latest
    if (snapshot !== null && snapshot.through > this.next) {
      this.#folded.restore(snapshot.data)
      this.#notifyAdvance()
    }
    if (this.next < firstAvailableOffset) {
      this.options.logger.error('the log dropped records that no snapshot covers', { stream: this.options.stream, first: firstAvailableOffset, next: this.next })
      return false
    }
    return true
  }
}
