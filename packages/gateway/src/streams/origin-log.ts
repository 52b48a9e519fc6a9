/**
 * Keeps the origins of streams in the log, so that streams can go on after all processes of the fleet were lost at once. One process, the recorder, writes
 * those of the whole fleet, several times a second, while a service has targets of several software versions.
 */
import { hash32, streamMemoryMilliseconds } from '@arbutusloft/policy'
import type { KnownOrigin } from '@arbutusloft/policy'
import { messageOf } from '@arbutusloft/protocol'
import { Packr } from 'msgpackr/pack'
import * as z from 'zod'
import { AppendOutcome } from '../log/keyed-topic.js'
import type { KeyedRecord, KeyedTopic } from '../log/keyed-topic.js'
import type { Logger } from '../util/logger.js'

/** Origin of an attempt's stream with the time of its first event. */
export interface LoggedOrigin {
  readonly attempt: string
  readonly origin: KnownOrigin
  /** In milliseconds since the epoch. */
  readonly begunAt: number
}

/** Time for which origins are collected for one record; streams that begin within it before the loss of all processes are lost. */
const collectMilliseconds = 100
/** Records that are kept for each group of recorders; together they reach back longer than streams may be taken up. */
const recordsPerGroup = 1.25 * streamMemoryMilliseconds / collectMilliseconds
/** Groups of recorders, by address. Two that write at the same time, as after a change of members, mostly don't overwrite each other's records. */
const groups = 4
/** Origins that wait to be saved, each of about 100 bytes. */
const maximumOrigins = 1_500
/** Maximum length of a record; the store accepts 262,144 bytes. Ids of attempts may be long. */
const maximumRecordBytes = 250_000

const recordSchema = z.array(z.tuple([z.string(), z.string(), z.string(), z.string(), z.number(), z.number()]))
const packr = new Packr({ useRecords: false })

/** Saves and loads origins. */
export class OriginLog {
  #collected: LoggedOrigin[] = []
  #timer: NodeJS.Timeout | null = null
  #isSaving = false
  #closed = false
  #sequence = 0
  readonly #group: number

  /** @param address address of this process */
  constructor (private readonly topic: KeyedTopic, address: string, private readonly logger: Logger) {
    this.#group = hash32(address) % groups
  }

  /** Saves origins in the background, together with those that follow within a moment. */
  add (origins: readonly LoggedOrigin[]): void {
    this.#collected.push(...origins)
    if (this.#collected.length > maximumOrigins) {
      this.#collected.splice(0, this.#collected.length - maximumOrigins)
    }
    this.#schedule()
  }

  /** Returns the origins of streams that may still be taken up; null if the log could not be read. */
  async load (): Promise<readonly LoggedOrigin[] | null> {
    try {
      const { records } = await this.topic.newest()
      const since = Date.now() - streamMemoryMilliseconds
      return records.flatMap(record => this.#parse(record)).filter(({ begunAt }) => begunAt > since)
    } catch (error) {
      this.logger.info('origins of streams not read', { error: messageOf(error) })
      return null
    }
  }

  close (): void {
    this.#closed = true
    if (this.#timer !== null) {
      clearTimeout(this.#timer)
    }
  }

  #schedule (): void {
    if (this.#timer === null && !this.#isSaving && !this.#closed && this.#collected.length > 0) {
      this.#timer = setTimeout(() => {
        this.#timer = null
        void this.#save()
      }, collectMilliseconds)
    }
  }

  async #save (): Promise<void> {
    const origins = this.#collected
    this.#collected = []
    this.#isSaving = true
    // Follows the time, so that a recorder goes on behind the records of the one before.
    this.#sequence = Math.max(this.#sequence + 1, Math.floor(Date.now() / collectMilliseconds))
    const key = `${this.#group}/${this.#sequence % recordsPerGroup}`
    const { saved, value } = packNewest(origins)
    const outcome = await this.topic.append([{ key, value }], null)
    this.#isSaving = false
    if (outcome !== AppendOutcome.Done) {
      this.logger.info('origins of streams not kept', { streams: origins.length, end: outcome })
      this.#collected = [...saved, ...this.#collected].slice(-maximumOrigins)
    }
    this.#schedule()
  }

  #parse ({ key, value, offset }: KeyedRecord): readonly LoggedOrigin[] {
    if (value === null) {
      return []
    }
    try {
      return recordSchema.parse(packr.unpack(value)).map(([attempt, service, softwareVersion, target, born, begunAt]) => ({ attempt, origin: { service, softwareVersion, target, born }, begunAt }))
    } catch (error) {
      this.logger.warn('origins of streams not readable', { key, offset, error: messageOf(error) })
      return []
    }
  }
}

/** Packs origins into a record, the oldest ones left out if they are too long together. */
function packNewest (origins: readonly LoggedOrigin[]): { readonly saved: readonly LoggedOrigin[], readonly value: Buffer } {
  const value = packr.pack(origins.map(({ attempt, origin: { service, softwareVersion, target, born }, begunAt }) => [attempt, service, softwareVersion, target, born, begunAt]))
  if (value.length <= maximumRecordBytes) {
    return { saved: origins, value }
  }
  const kept = Math.min(origins.length - 1, Math.floor(origins.length * maximumRecordBytes / value.length))
  return packNewest(origins.slice(origins.length - kept))
}
