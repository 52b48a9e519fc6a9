/** Maps that remember a bounded number of entries. */

/** Sets a value as the last one, and forgets the first one if there are more than `maximum`; returns the key of that, or null. */
export function setLatest<K, V> (map: Map<K, V>, key: K, value: V, maximum: number): K | null {
  map.delete(key)
  map.set(key, value)
  const [first] = map.keys()
  if (map.size <= maximum || first === undefined) {
    return null
  }
  map.delete(first)
  return first
}
