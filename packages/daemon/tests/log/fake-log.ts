/** An in-memory log service for tests, with injected faults. */
import { LogError, LogErrorCode } from '@arbutusloft/adapters'
import type { LogEntry, LogPage, LogService, ReadOptions } from '@arbutusloft/adapters'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'

const { Ok, Err } = tsResults

/** Fault of an append; `lose-answer` appends the entry but fails the call. */
export type AppendFault = 'lose-answer' | 'unavailable' | 'rate-limited'

/** In-memory streams. A read that finds no entries waits 5 ms instead of the requested time. */
export class FakeLog implements LogService {
  readonly streams = new Map<string, LogEntry[]>()
  /** Offset of the first entry still kept, by stream; 0 if not set. */
  readonly first = new Map<string, number>()
  /** Faults of the next appends, in order. */
  readonly faults: AppendFault[] = []
  /** Fails all calls while true. */
  down = false

  async append (stream: string, data: Uint8Array): Promise<Result<number, LogError>> {
    const fault = this.faults.shift()
    if (this.down || fault === 'unavailable') {
      return Err(new LogError(LogErrorCode.Unavailable, 'down'))
    }
    if (fault === 'rate-limited') {
      return Err(new LogError(LogErrorCode.RateLimited, 'rate limit exceeded'))
    }
    const entries = this.entries(stream)
    const offset = entries.length
    entries.push({ offset, time: Date.now(), data })
    return fault === 'lose-answer' ? Err(new LogError(LogErrorCode.Unavailable, 'answer lost')) : Ok(offset)
  }

  async read (stream: string, options: ReadOptions): Promise<Result<LogPage, LogError>> {
    if (this.down) {
      return Err(new LogError(LogErrorCode.Unavailable, 'down'))
    }
    const all = this.entries(stream)
    if (all.length <= options.from && options.waitMilliseconds > 0) {
      await new Promise(resolve => { setTimeout(resolve, 5) })
    }
    const first = this.first.get(stream) ?? 0
    const entries = all.filter(entry => entry.offset >= Math.max(first, options.from)).slice(0, options.limit)
    return Ok({ firstOffset: first, endOffset: all.length, entries })
  }

  entries (stream: string): LogEntry[] {
    const entries = this.streams.get(stream) ?? []
    this.streams.set(stream, entries)
    return entries
  }

  async close (): Promise<void> {}
}
