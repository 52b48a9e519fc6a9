/** A fold that follows its stream in the log. */
import type { LogPage, LogService } from '@arbutusloft/adapters'
import { backoffMilliseconds } from '@arbutusloft/policy'
import { snapshotStreamOf } from '@arbutusloft/protocol'
import type { LogRecord } from '@arbutusloft/protocol'
import { decodeSnapshotPart, FoldedStream, nextOfSerialized, SnapshotAssembler } from '@arbutusloft/state'
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
  /** Milliseconds that one read waits for new entries. */
  readonly pollMilliseconds?: number
}

/** A record that was applied. */
export interface AppliedRecord {
  readonly record: LogRecord
  readonly context: RecordContext
}

const defaultPollMilliseconds = 2_000
const entriesPerRead = 200
const entriesKept = 256

interface Waiter {
  readonly next: number
  readonly resolve: (reached: boolean) => void
}

/** Applies a stream's entries as they come, from the latest snapshot on. */
export class StreamFollower {
  readonly #folded: FoldedStream
  readonly #records = new Listeners<AppliedRecord>()
  readonly #advances = new Listeners<number>()
  readonly #abort = new AbortController()
  readonly #ready: Promise<void>
  #resolveReady: () => void = () => {}
  #caughtUp = false
  #reachable = false
  #waiters: Waiter[] = []
  #kept: StreamEntry[] = []
  #running: Promise<void> | null = null

  constructor (private readonly options: StreamFollowerOptions) {
    this.#folded = new FoldedStream(options.fold)
    this.#ready = new Promise(resolve => { this.#resolveReady = resolve })
  }

  /** Begins to follow. */
  start (): void {
    this.#running ??= this.#run()
  }

  /** Resolves when the fold has come to where the stream ended at the start. */
  get ready (): Promise<void> {
    return this.#ready
  }

  get caughtUp (): boolean {
    return this.#caughtUp
  }

  /** Whether the last read was answered. */
  get reachable (): boolean {
    return this.#reachable
  }

  /** Offset of the entry to apply next. */
  get next (): number {
    return this.#folded.next
  }

  /** Calls the listener after each applied record. */
  onRecord (listener: (applied: AppliedRecord) => void): () => void {
    return this.#records.add(listener)
  }

  /** Calls the listener with the new next offset after entries were applied. */
  onAdvance (listener: (next: number) => void): () => void {
    return this.#advances.add(listener)
  }

  /** Resolves with true when the entry at the offset is applied, with false when the time is over. */
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
   * Comes to where the stream ends now; resolves with false if the log does not answer or
   * the time is over. It reads by itself, since the connection that follows may be silent.
   */
  async catchUp (timeoutMilliseconds: number): Promise<boolean> {
    const deadline = Date.now() + timeoutMilliseconds
    for (;;) {
      const page = await this.options.log.read(this.options.stream, {
        from: this.next,
        limit: entriesPerRead,
        waitMilliseconds: 0,
        signal: this.#abort.signal
      })
      if (page.err || page.val.first > this.next) {
        return false
      }
      this.inject(page.val.entries)
      if (this.next >= page.val.next) {
        return true
      }
      if (Date.now() > deadline) {
        return false
      }
    }
  }

  /** Takes entries that a peer passed on; those out of order are left to the log. */
  inject (entries: readonly StreamEntry[]): void {
    this.#apply(entries.filter(entry => entry.offset >= this.next))
  }

  /** Takes a peer's snapshot if it reaches further, and counts as caught up with it. */
  injectSnapshot (data: Uint8Array): void {
    if (nextOfSerialized(data) > this.next) {
      this.#folded.restore(data)
      this.#kept = []
      this.#announce()
    }
    this.#markCaughtUp()
  }

  /** Counts as caught up though the log has not been read, since a peer was ahead. */
  markCaughtUpByPeer (): void {
    this.#markCaughtUp()
  }

  /** Recently applied entries from an offset on, or null if they are no longer kept. */
  entriesFrom (offset: number): readonly StreamEntry[] | null {
    const first = this.#kept[0]?.offset ?? this.next
    return offset < first ? null : this.#kept.filter(entry => entry.offset >= offset)
  }

  /** The fold and its place in the stream. */
  serialize (): Uint8Array {
    return this.#folded.serialize()
  }

  async close (): Promise<void> {
    this.#abort.abort()
    this.#waiters.forEach(waiter => { waiter.resolve(false) })
    this.#waiters = []
    await this.#running
  }

  async #run (): Promise<void> {
    const { signal } = this.#abort
    let failures = 0
    while (!signal.aborted && !await this.#restore(0)) {
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
      limit: entriesPerRead,
      waitMilliseconds: this.#caughtUp ? this.options.pollMilliseconds ?? defaultPollMilliseconds : 0,
      signal: this.#abort.signal
    })
    this.#reachable = page.ok
    if (page.err) {
      return false
    }
    if (page.val.first > this.next) {
      return await this.#restore(page.val.first)
    }
    this.#takePage(page.val)
    return true
  }

  #takePage (page: LogPage): void {
    this.#apply(page.entries)
    if (this.next >= page.next) {
      this.#markCaughtUp()
    }
  }

  #apply (entries: readonly StreamEntry[]): void {
    let applied = false
    for (const entry of entries) {
      // A gap means that the entries are not the stream's continuation.
      if (entry.offset !== this.next) {
        continue
      }
      this.#folded.apply(entry, (record, context) => { this.#records.emit({ record, context }) })
      this.#kept.push(entry)
      applied = true
    }
    if (applied) {
      this.#kept = this.#kept.slice(-entriesKept)
      this.#announce()
    }
  }

  #announce (): void {
    const next = this.next
    const reached = this.#waiters.filter(waiter => waiter.next <= next)
    this.#waiters = this.#waiters.filter(waiter => waiter.next > next)
    reached.forEach(waiter => { waiter.resolve(true) })
    this.#advances.emit(next)
  }

  #markCaughtUp (): void {
    if (!this.#caughtUp) {
      this.#caughtUp = true
      this.#resolveReady()
    }
  }

  /** Loads the latest snapshot, which must reach the first entry that the log keeps. */
  async #restore (first: number): Promise<boolean> {
    const assembler = new SnapshotAssembler()
    const stream = snapshotStreamOf(this.options.stream)
    for (let from = 0; ;) {
      const page = await this.options.log.read(stream, {
        from,
        limit: entriesPerRead,
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
      from = Math.max(page.val.first, (page.val.entries.at(-1)?.offset ?? from - 1) + 1)
      if (from >= page.val.next) {
        break
      }
    }
    const snapshot = assembler.latest
    if (snapshot !== null && snapshot.through > this.next) {
      this.#folded.restore(snapshot.data)
      this.#announce()
    }
    if (this.next < first) {
      this.options.logger.error('the log dropped records that no snapshot covers', { stream: this.options.stream, first, next: this.next })
      return false
    }
    return true
  }
}
