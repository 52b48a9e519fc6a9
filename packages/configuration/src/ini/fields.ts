/** Schemas of INI values. */
import { z } from 'zod'
import { keyHashPattern } from '../util/hash-key.js'

/** A whole number within bounds. */
export function integerField (minimum: number, maximum: number): z.ZodType<number> {
  const message = `expected a whole number from ${minimum} to ${maximum}`
  return z.coerce.number({ error: message }).int(message).min(minimum, message).max(maximum, message)
}

/** A number within bounds. */
export function numberField (minimum: number, maximum: number): z.ZodType<number> {
  const message = `expected a number from ${minimum} to ${maximum}`
  return z.coerce.number({ error: message }).min(minimum, message).max(maximum, message)
}

/** `true` or `false`. */
export const booleanField: z.ZodType<boolean> = z.boolean({ error: 'expected true or false' })

/** Text that is not empty. */
export const textField: z.ZodType<string> = z.string({ error: 'expected a text' }).min(1, 'expected a text')

/** Names divided by commas; may be empty. */
export const namesField: z.ZodType<readonly string[]> = z
  .string({ error: 'expected names divided by commas' })
  .transform(text => text.split(',').map(name => name.trim()).filter(name => name !== ''))

/** Hashes of keys, divided by commas. */
export const keyHashesField: z.ZodType<readonly string[]> = namesField.refine(
  hashes => hashes.length > 0 && hashes.every(hash => keyHashPattern.test(hash)),
  'expected hashes as "arbutus keys hash" prints them, divided by commas'
)

const addressPattern = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/

/** An address by IP number and port. */
export const addressField: z.ZodType<string> = z
  .string({ error: 'expected ip:port, such as 127.0.0.1:8080' })
  .regex(addressPattern, 'expected ip:port, such as 127.0.0.1:8080')
