/** Type guard for decoded values. */

/** Whether the value is an object with string keys. */
export function isPlainObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
