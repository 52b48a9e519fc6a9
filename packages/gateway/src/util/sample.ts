/** Random choices from lists. */

/** Returns all values in random order. */
export function shuffle<T> (values: readonly T[]): T[] {
  const shuffled = [...values]
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = Math.floor(Math.random() * (index + 1))
    const value = shuffled[index] as T
    shuffled[index] = shuffled[other] as T
    shuffled[other] = value
  }
  return shuffled
}

/** Draws for each value that is wanted; a list with few suitable values may yield fewer than wanted. */
const drawsPerValue = 4

/** Returns up to `count` different values that meet the condition, chosen at random without a copy of a long list. */
export function sample<T> (values: readonly T[], count: number, condition: (value: T) => boolean = () => true): readonly T[] {
  if (values.length <= count * drawsPerValue) {
    return shuffle(values.filter(condition)).slice(0, count)
  }
  const chosen = new Set<T>()
  for (let draw = 0; draw < count * drawsPerValue && chosen.size < count; draw += 1) {
    const value = values[Math.floor(Math.random() * values.length)] as T
    if (condition(value)) {
      chosen.add(value)
    }
  }
  return [...chosen]
}
