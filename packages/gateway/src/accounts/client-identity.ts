/** Which client account sends a request. */
import type { IncomingMessage } from 'node:http'
import { bearerKeyOf, KeyFault } from '@arbutusloft/policy'
import type { Account, BearerKey, Route, SlotCaller } from '@arbutusloft/policy'
import type { HeaderNames } from '../online/header-names.js'
import { authorizationHeader } from './account-headers.js'

/** Who sends a request. */
export interface ClientIdentity {
  /** Whether the deployment has client accounts. */
  readonly hasAccounts: boolean
  /** Null for a request without the key of an account, which is served on public routes only, and where there are no accounts. */
  readonly account: Account | null
}

/** Identity of all requests where there are no accounts. */
export const noAccounts: ClientIdentity = { hasAccounts: false, account: null }

/** Why a request is not served for its key. */
export const IdentityFault = {
  ...KeyFault,
  /** No account holds the key. */
  Unknown: 'unknown',
  /** It cannot be told at present whether an account holds the key. */
  Unconfirmed: 'unconfirmed'
} as const
export type IdentityFault = typeof IdentityFault[keyof typeof IdentityFault]

/** Tokens of a request that names none. */
const lowestCost = 1

/** What a client is told whose request is not served for its key. */
export const identityFaultTexts: Readonly<Record<IdentityFault, string>> = {
  [IdentityFault.Missing]: 'the request has no Authorization header with a key',
  [IdentityFault.Duplicate]: 'the request has more than one Authorization header',
  [IdentityFault.Malformed]: 'the Authorization header is not of the form "Bearer KEY"',
  [IdentityFault.Unknown]: 'no client account holds the key',
  [IdentityFault.Unconfirmed]: 'not run: it cannot be confirmed at present whether the key is valid'
}

/** Returns the key that a request carries, or why it names none. */
export function keyOf ({ rawHeaders }: IncomingMessage): BearerKey {
  return bearerKeyOf(valuesOf(rawHeaders, authorizationHeader))
}

/** Returns how a request counts among those of its account, for the slot that it needs; null where there are no accounts. */
export function slotCallerOf (request: IncomingMessage, { hasAccounts, account }: ClientIdentity, route: Route, names: HeaderNames): SlotCaller | null {
  if (!hasAccounts) {
    return null
  }
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
