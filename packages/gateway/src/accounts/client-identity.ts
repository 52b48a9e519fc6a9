/** Which client account sends a request. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { bearerKeyOf, KeyFault } from '@arbutusloft/policy'
import type { Account, AccountDirectory, Route, SlotCaller } from '@arbutusloft/policy'
import { reply, Status } from '../http/reply.js'
import type { HeaderNames } from '../online/header-names.js'
import { authorizationHeader } from './account-headers.js'

/** Why a request is not served for its key. */
export const IdentityFault = {
  ...KeyFault,
  /** No account holds the key. */
  Unknown: 'unknown'
} as const
export type IdentityFault = typeof IdentityFault[keyof typeof IdentityFault]

/** The account of a request, null if it needs none, or why the request is rejected. */
export interface ClientIdentity {
  readonly account: Account | null
  readonly fault: IdentityFault | null
}

/** Tokens of a request that names none. */
const lowestCost = 1

const faultTexts: Readonly<Record<IdentityFault, string>> = {
  [IdentityFault.Missing]: 'the request has no Authorization header with a key',
  [IdentityFault.Malformed]: 'the Authorization header is not a single one of the form "Bearer KEY"',
  [IdentityFault.Unknown]: 'no client account holds the key'
}

/**
 * Finds the account of a request by its key.
 *
 * @param accounts null if requests carry no keys
 * @param isPublic whether a request without the key of an account is served as well
 */
export function identify (request: IncomingMessage, accounts: AccountDirectory | null, isPublic: boolean): ClientIdentity {
  if (accounts === null) {
    return { account: null, fault: null }
  }
  const bearer = bearerKeyOf(valuesOf(request.rawHeaders, authorizationHeader))
  const account = 'key' in bearer ? accounts.findByKey(bearer.key) : null
  if (account !== null || isPublic) {
    return { account, fault: null }
  }
  return { account: null, fault: 'fault' in bearer ? bearer.fault : IdentityFault.Unknown }
}

/** Answers a request that is rejected for its key. */
export function rejectKey (response: ServerResponse, fault: IdentityFault): void {
  reply(response, Status.Unauthorized, { error: faultTexts[fault] }, { 'www-authenticate': 'Bearer' })
}

/** Returns how a request counts among those of its account, for the slot that it needs. */
export function slotCallerOf (request: IncomingMessage, account: Account | null, route: Route, names: HeaderNames): SlotCaller {
  const counts = names.tokenCounts === undefined ? '' : String(request.headers[names.tokenCounts] ?? '')
  return { account: account?.name ?? '', rank: account?.rank ?? route.priority, tokens: tokensOf(counts), isCounted: false }
}

/** Returns the sum of the tokens of the prompt and the output; 1 if they are not two numbers. */
function tokensOf (counts: string): number {
  const numbers = counts.split(',').map(Number)
  const sum = numbers.reduce((total, number) => total + number, 0)
  return numbers.length === 2 && Number.isFinite(sum) && sum > 0 ? sum : lowestCost
}

/** Returns the values of all headers of a name, given in lower case; Node.js keeps only the first of some. */
function valuesOf (raw: readonly string[], name: string): readonly string[] {
  return raw.filter((_, index) => index % 2 === 1 && raw[index - 1]?.toLowerCase() === name)
}
