/** Headers that concern client accounts in requests to targets: keys are left out, and the account's name is set whatever the client sent. */
import type { HeaderNames } from '../online/header-names.js'

/** Header with the client's key. */
export const authorizationHeader = 'authorization'

/** Returns the headers, in lower case, that a target must not get from a client where there are accounts. */
export function accountHeadersOf (names: HeaderNames): readonly string[] {
  return names.account === undefined ? [authorizationHeader] : [authorizationHeader, names.account]
}

/** Returns the name and value of the header that tells a target the account; empty without an account, or if targets are not told. */
export function accountHeader (names: HeaderNames, account: string): readonly string[] {
  return account === '' || names.account === undefined ? [] : [names.account, account]
}
