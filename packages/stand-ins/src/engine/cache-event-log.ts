/** Cache events of the engine stand-in, which readers see late and with gaps. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { CacheEvent } from '@arbutusloft/adapters'
import type { EngineOptions } from './engine-options.js'

interface RecordedEvent extends CacheEvent {
  /** Time of the event, in milliseconds since the epoch. */
  readonly at: number
}

const maximumEntries = 4_096

/** Records cache events, loses a random fraction of them and shows the rest after a delay. */
export class CacheEventLog {
  #entries: RecordedEvent[] = []
  #sequence = 0
  readonly #random

  constructor (private readonly options: EngineOptions) {
    this.#random = xoroshiro128plus(options.seed)
  }

  /** Records that blocks were stored or evicted. A lost event leaves a gap in the sequence numbers. */
  record (stored: boolean, blocks: readonly string[]): void {
    this.#sequence += 1
    if (uniformFloat64(this.#random) >= this.options.cacheEventLossFraction) {
      this.#entries.push({ sequence: this.#sequence, stored, blocks, at: Date.now() })
      this.#entries = this.#entries.slice(-maximumEntries)
    }
  }

  /** Returns the events from a sequence number on that are at least `cacheLagMilliseconds` old. */
  readFrom (sequence: number): readonly CacheEvent[] {
    const newestVisibleTime = Date.now() - this.options.cacheLagMilliseconds
    return this.#entries
      .filter(entry => entry.sequence >= sequence && entry.at <= newestVisibleTime)
      .map(({ sequence: number, stored, blocks }) => ({ sequence: number, stored, blocks }))
  }
}
