/** Keeps the software versions of each service in the log, so that a process that starts knows which ones there were before. */
import { mergeVersionRecords } from '@arbutusloft/policy'
import type { VersionRecord } from '@arbutusloft/policy'
import { messageOf } from '@arbutusloft/protocol'
import * as z from 'zod'
import { AppendOutcome } from '../log/keyed-topic.js'
import type { KeyedRecord, KeyedTopic, NewRecord } from '../log/keyed-topic.js'
import type { Logger } from '../util/logger.js'
import { sleep } from '../util/sleep.js'

/** Content of a record; its key is the service. Earlier builds wrote the present versions alone. */
const recordSchema = z.union([
  z.object({ present: z.array(z.string()), departed: z.record(z.string(), z.number()) }),
  z.array(z.string()).transform((present): VersionRecord => ({ present, departed: {} }))
])
const noVersions: VersionRecord = { present: [], departed: {} }

/** Delay before a failed call is retried. */
const retryMilliseconds = 500
/** Upper bound of the delay after a conflict; it is random, so that the same writers don't conflict again. */
const maximumConflictDelayMilliseconds = 50

interface LogContent {
  readonly records: ReadonlyMap<string, VersionRecord>
  readonly end: number
}

/** Saves and loads the versions. */
export class VersionLog {
  /** What this process last saved, as text, by service. */
  readonly #saved = new Map<string, string>()
  /** Records to be saved, by service. */
  readonly #unsaved = new Map<string, VersionRecord>()
  #isSaving = false
  #closed = false

  constructor (private readonly topic: KeyedTopic, private readonly logger: Logger) {}

  /** Loads the versions of all services; retries until that succeeds, and returns null if the log is closed before. */
  async load (): Promise<ReadonlyMap<string, VersionRecord> | null> {
    while (!this.#closed) {
      const content = await this.#read()
      if (content !== null) {
        return content.records
      }
      await sleep(retryMilliseconds)
    }
    return null
  }

  /** Saves the versions of a service in the background, together with those that the log has and this process does not know. */
  save (service: string, record: VersionRecord): void {
    if (this.#saved.get(service) !== JSON.stringify(record)) {
      this.#unsaved.set(service, record)
      void this.#saveAll()
    }
  }

  close (): void {
    this.#closed = true
  }

  async #saveAll (): Promise<void> {
    if (this.#isSaving) {
      return
    }
    this.#isSaving = true
    while (this.#unsaved.size > 0 && !this.#closed) {
      const changes = new Map(this.#unsaved)
      const outcome = await this.#append(changes)
      if (outcome === AppendOutcome.Conflict) {
        await sleep(maximumConflictDelayMilliseconds * Math.random())
        continue
      }
      if (outcome !== AppendOutcome.Done) {
        this.logger.info('software versions not kept', { services: [...changes.keys()], end: outcome })
        await sleep(retryMilliseconds)
        continue
      }
      for (const [service, record] of changes) {
        this.#saved.set(service, JSON.stringify(record))
        if (this.#unsaved.get(service) === record) {
          this.#unsaved.delete(service)
        }
      }
    }
    this.#isSaving = false
  }

  /** Appends the records that change something, on condition that the log still has what they were combined with. */
  async #append (changes: ReadonlyMap<string, VersionRecord>): Promise<AppendOutcome> {
    const content = await this.#read()
    if (content === null) {
      return AppendOutcome.Refused
    }
    const now = Date.now()
    const records: NewRecord[] = []
    for (const [service, own] of changes) {
      const stored = content.records.get(service) ?? noVersions
      const merged = mergeVersionRecords(stored, own, now)
      if (!content.records.has(service) || !hasAll(stored, merged)) {
        records.push({ key: service, value: Buffer.from(JSON.stringify(merged)) })
      }
    }
    return records.length === 0 ? AppendOutcome.Done : await this.topic.append(records, content.end)
  }

  async #read (): Promise<LogContent | null> {
    try {
      const { records, end } = await this.topic.newest()
      return { records: new Map(records.flatMap(record => this.#parse(record) ?? []).map(({ service, record }) => [service, record])), end }
    } catch (error) {
      this.logger.info('software versions not read', { error: messageOf(error) })
      return null
    }
  }

  #parse ({ key, value, offset }: KeyedRecord): { readonly service: string, readonly record: VersionRecord } | null {
    try {
      return value === null ? null : { service: key, record: recordSchema.parse(JSON.parse(value.toString())) }
    } catch (error) {
      this.logger.warn('software versions not readable', { service: key, offset, error: messageOf(error) })
      return null
    }
  }
}

/** Whether a record already tells what another one does; a departure may be told later than it was. */
function hasAll (stored: VersionRecord, record: VersionRecord): boolean {
  const isSame = [...stored.present].sort().join('\n') === [...record.present].sort().join('\n')
  return isSame && Object.entries(record.departed).every(([version, at]) => (stored.departed[version] ?? -Infinity) >= at)
}
