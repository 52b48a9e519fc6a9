/** Keeps the software versions of each service in the log, so that a process that starts knows which ones there were before. */
import { messageOf } from '@arbutusloft/protocol'
import * as z from 'zod'
import { AppendOutcome } from '../log/keyed-topic.js'
import type { KeyedRecord, KeyedTopic } from '../log/keyed-topic.js'
import type { Logger } from '../util/logger.js'
import { sleep } from '../util/sleep.js'

/** Content of a record; its key is the service. */
const recordSchema = z.array(z.string())

/** Delay before a failed call is retried. */
const retryMilliseconds = 500

/** Saves and loads the versions. */
export class VersionLog {
  /** Versions that the log has, as text, by service; null until it was loaded. */
  #saved: Map<string, string> | null = null
  /** Versions to be saved, as text, by service. */
  readonly #unsaved = new Map<string, string>()
  #isSaving = false
  #closed = false

  constructor (private readonly topic: KeyedTopic, private readonly logger: Logger) {}

  /** Loads the versions of all services; retries until that succeeds, and returns null if the log is closed before. */
  async load (): Promise<ReadonlyMap<string, readonly string[]> | null> {
    while (!this.#closed) {
      try {
        const { records } = await this.topic.newest()
        const versions = new Map(records.flatMap(record => this.#parse(record) ?? []).map(({ service, versions }) => [service, versions]))
        this.#saved = new Map([...versions].map(([service, names]) => [service, JSON.stringify(names)]))
        void this.#saveAll()
        return versions
      } catch (error) {
        this.logger.info('software versions not read', { error: messageOf(error) })
        await sleep(retryMilliseconds)
      }
    }
    return null
  }

  /** Saves the versions of a service in the background if the log has others. */
  save (service: string, versions: ReadonlySet<string>): void {
    this.#unsaved.set(service, JSON.stringify([...versions].sort()))
    void this.#saveAll()
  }

  close (): void {
    this.#closed = true
  }

  async #saveAll (): Promise<void> {
    const saved = this.#saved
    if (saved === null || this.#isSaving) {
      return
    }
    this.#isSaving = true
    while (this.#unsaved.size > 0 && !this.#closed) {
      const changed = [...this.#unsaved].filter(([service, text]) => saved.get(service) !== text)
      const outcome = changed.length === 0 ? AppendOutcome.Done : await this.topic.append(changed.map(([key, text]) => ({ key, value: Buffer.from(text) })), null)
      if (outcome !== AppendOutcome.Done) {
        this.logger.info('software versions not kept', { services: changed.map(([service]) => service), end: outcome })
        await sleep(retryMilliseconds)
        continue
      }
      changed.forEach(([service, text]) => { saved.set(service, text) })
      for (const [service, text] of this.#unsaved) {
        if (saved.get(service) === text) {
          this.#unsaved.delete(service)
        }
      }
    }
    this.#isSaving = false
  }

  #parse ({ key, value, offset }: KeyedRecord): { readonly service: string, readonly versions: readonly string[] } | null {
    try {
      return value === null ? null : { service: key, versions: recordSchema.parse(JSON.parse(value.toString())) }
    } catch (error) {
      this.logger.warn('software versions not readable', { service: key, offset, error: messageOf(error) })
      return null
    }
  }
}
