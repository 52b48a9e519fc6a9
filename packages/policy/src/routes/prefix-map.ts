/** Values by host and path prefix, found by the path: one look-up for each length that prefixes of the host have. */

/** A value and the prefix under which it was set. */
export interface PrefixEntry<Value> {
  readonly host: string
  readonly prefix: string
  readonly value: Value
}

interface HostPrefixes<Value> {
  readonly entries: Map<string, PrefixEntry<Value>>
  /** Lengths of the prefixes, the greatest first; null after a change. */
  lengths: readonly number[] | null
}

/** Keeps one value for each host and prefix. */
export class PrefixMap<Value> {
  readonly #hosts = new Map<string, HostPrefixes<Value>>()

  set (host: string, prefix: string, value: Value): void {
    const known = this.#hosts.get(host) ?? { entries: new Map<string, PrefixEntry<Value>>(), lengths: null }
    this.#hosts.set(host, known)
    known.entries.set(prefix, { host, prefix, value })
    known.lengths = null
  }

  has (host: string, prefix: string): boolean {
    return this.#hosts.get(host)?.entries.has(prefix) === true
  }

  delete ({ host, prefix }: PrefixEntry<Value>): void {
    const known = this.#hosts.get(host)
    if (known !== undefined) {
      known.entries.delete(prefix)
      known.lengths = null
    }
  }

  /** All entries, in the order in which their hosts and prefixes were first set. */
  * all (): Iterable<PrefixEntry<Value>> {
    for (const { entries } of this.#hosts.values()) {
      yield * entries.values()
    }
  }

  /** The entries of a host whose prefix begins a path, the longest first. */
  * matching (host: string, path: string): Iterable<PrefixEntry<Value>> {
    const known = this.#hosts.get(host)
    if (known === undefined) {
      return
    }
    known.lengths ??= [...new Set([...known.entries.keys()].map(prefix => prefix.length))].sort((left, right) => right - left)
    for (const length of known.lengths) {
      const entry = length <= path.length ? known.entries.get(path.slice(0, length)) : undefined
      if (entry !== undefined) {
        yield entry
      }
    }
  }
}
