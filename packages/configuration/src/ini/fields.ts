/**
 * Schemas of the values in settings files and lists. Their messages are stored in the audit trail, which processes of
 * different builds must compute alike, so they must not be changed.
 */
import { z } from 'zod'
import { keyHashPattern } from '../util/hash-key.js'

/** Accepts an integer from `minimum` to `maximum`, both included. */
export function integerField (minimum: number, maximum: number): z.ZodType<number> {
  const message = `expected a whole number from ${minimum} to ${maximum}`
  return z.coerce.number({ error: message }).int(message).min(minimum, message).max(maximum, message)
}

/** Accepts a number from `minimum` to `maximum`, both included. */
export function numberField (minimum: number, maximum: number): z.ZodType<number> {
  const message = `expected a number from ${minimum} to ${maximum}`
  return z.coerce.number({ error: message }).min(minimum, message).max(maximum, message)
}

/** Accepts `true` or `false`. */
export const booleanField: z.ZodType<boolean> = z.boolean({ error: 'expected true or false' })

/** Accepts a text that is not empty. */
export const textField: z.ZodType<string> = z.string({ error: 'expected a text' }).min(1, 'expected a text')

/** Accepts names separated by commas, or an empty text for no names. */
export const namesField: z.ZodType<readonly string[]> = z
  .string({ error: 'expected names divided by commas' })
  .transform(text => text.split(',').map(name => name.trim()).filter(name => name !== ''))

/** Accepts one or more hashes of API keys, separated by commas; see `hashKey`. */
export const keyHashesField: z.ZodType<readonly string[]> = namesField.refine(
  hashes => hashes.length > 0 && hashes.every(hash => keyHashPattern.test(hash)),
  'expected hashes as "arbutus keys hash" prints them, divided by commas'
)

const addressPattern = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/

/**
 * Accepts a text in the form of an IP address with a port, such as `127.0.0.1:8080` or `[::1]:8080`. Rejects host names;
 * does not check the ranges of the numbers.
 */
export const addressField: z.ZodType<string> = z
  .string({ error: 'expected ip:port, such as 127.0.0.1:8080' })
  .regex(addressPattern, 'expected ip:port, such as 127.0.0.1:8080')
