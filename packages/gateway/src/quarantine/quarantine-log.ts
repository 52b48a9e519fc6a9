/** Keeps what is in quarantine in the log, so that it holds when all processes of the fleet are lost at once. */
import type { QuarantineEntry } from '@arbutusloft/policy'
import { messageOf } from '@arbutusloft/protocol'
import { Packr } from 'msgpackr/pack'
import * as z from 'zod'
import { AppendOutcome } from '../log/keyed-topic.js'
import type { KeyedRecord, KeyedTopic, NewRecord } from '../log/keyed-topic.js'
import type { Logger } from '../util/logger.js'
import { sleep } from '../util/sleep.js'

/** Content of a record; its key is the digest of the request or part. `until` is in milliseconds since the epoch. */
const recordSchema = z.object({ version: z.number(), periods: z.number(), until: z.number() })

/** Delay before a failed call is retried. */
const retryMilliseconds = 500

const packr = new Packr({ useRecords: false })

/** Saves and loads entries. */
export class QuarantineLog {
  /** Newest entry to be saved, by digest. */
  readonly #unsaved = new Map<string, NewRecord>()
  #isSaving = false
  #closed = false

  constructor (private readonly topic: KeyedTopic, private readonly logger: Logger) {}

  /** Saves an entry in the background; retries until the log has it or a newer one with the same digest. */
  save ({ digest, version, periods, remaining }: QuarantineEntry): void {
    const value = periods === 0 ? null : packr.pack({ version, periods, until: Date.now() + remaining })
    this.#unsaved.set(digest, { key: digest, value })
    if (!this.#isSaving) {
      void this.#saveAll()
    }
  }

  /** Loads all entries; retries until that succeeds, and returns none if the log is closed before. */
  async load (): Promise<readonly QuarantineEntry[]> {
    while (!this.#closed) {
      try {
        const { records } = await this.topic.newest()
        return records.flatMap(record => this.#parse(record) ?? [])
      } catch (error) {
        this.logger.info('quarantine not read', { error: messageOf(error) })
        await sleep(retryMilliseconds)
      }
    }
    return []
  }

  close (): void {
    this.#closed = true
  }

  async #saveAll (): Promise<void> {
    this.#isSaving = true
    while (this.#unsaved.size > 0 && !this.#closed) {
      const records = [...this.#unsaved.values()]
      const outcome = await this.topic.append(records, null)
      if (outcome === AppendOutcome.Done) {
        this.#forget(records)
      } else {
        this.logger.info('quarantine not kept', { digests: records.map(record => record.key), end: outcome })
        await sleep(retryMilliseconds)
      }
    }
    this.#isSaving = false
  }

  /** Forgets records that were saved, except those that were replaced meanwhile. */
  #forget (saved: readonly NewRecord[]): void {
    for (const record of saved) {
      if (this.#unsaved.get(record.key) === record) {
        this.#unsaved.delete(record.key)
      }
    }
  }

  #parse ({ key, value, offset }: KeyedRecord): QuarantineEntry | null {
    if (value === null) {
      return null
    }
    try {
      const { version, periods, until } = recordSchema.parse(packr.unpack(value))
      return { digest: key, version, periods, remaining: Math.max(0, until - Date.now()) }
    } catch (error) {
      this.logger.warn('quarantine entry not readable', { digest: key, offset, error: messageOf(error) })
      return null
    }
  }
}
