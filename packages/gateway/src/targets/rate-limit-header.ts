/** The header in which a target names its rate limit. */

/** A decimal number without a sign or an exponent. */
const decimal = /^\d+(?:\.\d+)?$/

/** Returns the limit in requests a second, or null if the value is no decimal number that can be represented; such a value tells nothing. */
export function parseRateLimit (value: string): number | null {
  const limit = decimal.test(value) ? Number(value) : Infinity
  return Number.isFinite(limit) ? limit : null
}
