/** Keeps the quarantine of prompt parts in the log, so that it holds when all processes of the fleet are lost at once. */
import type { QuarantinedPart } from '@arbutusloft/policy'
import { messageOf } from '@arbutusloft/protocol'
import { Packr } from 'msgpackr'
import * as z from 'zod'
import { AppendOutcome } from '../log/keyed-topic.js'
import type { KeyedRecord, KeyedTopic } from '../log/keyed-topic.js'
import type { Logger } from '../util/logger.js'
import { sleep } from '../util/sleep.js'

/** Content of a record; its key is the digest of the part. `until` is in milliseconds since the epoch. */
const recordSchema = z.object({ version: z.number(), periods: z.number(), until: z.number() })

/** Attempts to append an entry; the other processes know it anyway, so more are not worth their calls. */
const maximumAttempts = 5
/** Delay before a failed append is retried; the store needs less to reject one. */
const retryMilliseconds = 500

const packr = new Packr({ useRecords: false })

/** Saves and loads entries. */
export class QuarantineLog {
  constructor (private readonly topic: KeyedTopic, private readonly logger: Logger) {}

  /** Saves an entry; logs if that fails. */
  async save (entry: QuarantinedPart): Promise<void> {
    const { digest, version, periods, remaining } = entry
    const value = periods === 0 ? null : packr.pack({ version, periods, until: Date.now() + remaining })
    for (let attempt = 1; attempt <= maximumAttempts; attempt += 1) {
      const outcome = await this.topic.append([{ key: digest, value }], null)
      if (outcome === AppendOutcome.Done) {
        return
      }
      this.logger.warn('quarantine of a prompt part not kept', { part: digest, attempt, end: outcome })
      await sleep(retryMilliseconds)
    }
  }

  /** Loads all entries; returns none if the read fails, which is logged. */
  async load (): Promise<readonly QuarantinedPart[]> {
    try {
      const { records } = await this.topic.newest()
      return records.flatMap(record => this.#parse(record) ?? [])
    } catch (error) {
      this.logger.warn('quarantine of prompt parts not read', { error: messageOf(error) })
      return []
    }
  }

  #parse ({ key, value, offset }: KeyedRecord): QuarantinedPart | null {
    if (value === null) {
      return null
    }
    try {
      const { version, periods, until } = recordSchema.parse(packr.unpack(value))
      return { digest: key, version, periods, remaining: Math.max(0, until - Date.now()) }
    } catch (error) {
      this.logger.warn('quarantine of a prompt part not readable', { part: key, offset, error: messageOf(error) })
      return null
    }
  }
}
