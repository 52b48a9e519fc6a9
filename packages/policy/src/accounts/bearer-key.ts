/** Keys of client accounts in the header of a request: https://www.rfc-editor.org/rfc/rfc6750#section-2.1 */

/** Why a request names no key. */
export const KeyFault = {
  Missing: 'missing',
  /** Several headers: it is not certain which one the client means. */
  Duplicate: 'duplicate',
  /** Another scheme, or no single text behind the scheme. */
  Malformed: 'malformed'
} as const
export type KeyFault = typeof KeyFault[keyof typeof KeyFault]

/** A key, or why there is none. */
export type BearerKey = { readonly key: string } | { readonly fault: KeyFault }

/** Scheme in any case, spaces, and a key of visible ASCII characters. */
const bearerForm = /^bearer +([!-~]+) *$/i

/**
 * Returns the key that a request carries.
 *
 * @param values values of all its `Authorization` headers
 */
export function bearerKeyOf (values: readonly string[]): BearerKey {
  const [value] = values
  if (value === undefined) {
    return { fault: KeyFault.Missing }
  }
  if (values.length > 1) {
    return { fault: KeyFault.Duplicate }
  }
  const key = bearerForm.exec(value)?.[1]
  return key === undefined ? { fault: KeyFault.Malformed } : { key }
}
