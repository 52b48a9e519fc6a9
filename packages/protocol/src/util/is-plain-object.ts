/** Type guard for decoded objects. */

/** Returns whether the value is an object, and neither null nor an array. */
export function isPlainObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
