/** Where the streams that clients may take up come from, by the attempt that brought the first event. */
import type { StreamOrigin } from '../fleet/fleet-messages.js'
import { streamMemoryMilliseconds } from './version-history.js'

/** Origin of the stream of one attempt. */
export interface KnownOrigin extends StreamOrigin {
  readonly service: string
}

interface StoredOrigin {
  readonly origin: KnownOrigin
  /** Time of the first event, in milliseconds since the epoch. */
  readonly begunAt: number
}

/** Maximum number of origins, which take some 200 bytes each: five times those of an instance that begins 40 streams a second and keeps copies of three others'. */
const maximumOrigins = 16_384

/** Remembers origins for as long as streams may be taken up; forgets the oldest ones before if there are too many. */
export class StreamOrigins {
  readonly #origins = new Map<string, StoredOrigin>()

  get size (): number {
    return this.#origins.size
  }

  /**
   * Records the origin of an attempt's stream.
   *
   * @param begunAt time of the first event, in milliseconds since the epoch
   */
  add (attempt: string, origin: KnownOrigin, begunAt: number, now: number): void {
    this.#origins.delete(attempt)
    this.#origins.set(attempt, { origin, begunAt })
    this.#forgetOld(now)
  }

  get (attempt: string, now: number): KnownOrigin | null {
    const stored = this.#origins.get(attempt)
    return stored === undefined || isOld(stored, now) ? null : stored.origin
  }

  /** Returns the attempts of some services, with the milliseconds since their first events. */
  ofServices (services: ReadonlySet<string>, now: number): ReadonlyArray<{ readonly attempt: string, readonly origin: KnownOrigin, readonly age: number }> {
    return [...this.#origins]
      .filter(([, stored]) => services.has(stored.origin.service) && !isOld(stored, now))
      .map(([attempt, { origin, begunAt }]) => ({ attempt, origin, age: Math.max(0, now - begunAt) }))
  }

  /** The oldest are mostly the first in the map; a copy that arrives late only stays a little longer. */
  #forgetOld (now: number): void {
    for (const [attempt, stored] of this.#origins) {
      if (this.#origins.size <= maximumOrigins && !isOld(stored, now)) {
        return
      }
      this.#origins.delete(attempt)
    }
  }
}

function isOld ({ begunAt }: StoredOrigin, now: number): boolean {
  return now - begunAt > streamMemoryMilliseconds
}
