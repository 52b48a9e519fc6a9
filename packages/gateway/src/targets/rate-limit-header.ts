/** The header in which a target names its rate limit. */

/** A decimal number without a sign or an exponent. */
const decimal = /^\d+(?:\.\d+)?$/

/**
 * Returns the limit in requests a second, or null if no header has the name, several have it with different values, or the value is no decimal number
 * that can be represented; such a value tells nothing.
 *
 * @param rawHeaders names and values alternating
 * @param name in lower case
 */
export function findRateLimit (rawHeaders: readonly string[], name: string): number | null {
  const values = new Set(rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === name))
  const [value = ''] = values
  const limit = values.size === 1 && decimal.test(value) ? Number(value) : Infinity
  return Number.isFinite(limit) ? limit : null
}
