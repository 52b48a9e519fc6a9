/** Keys under which waiting tokens are counted: of each route, and of each client account on it. */

/** Not part of an account's name, and of no route's name that a person would choose. */
const separator = '\u0000'

/** Returns the key of an account's tokens on a route; without an account it is the name of the route, as in records of builds that knew no accounts. */
export function waitingKey (route: string, account = ''): string {
  return account === '' ? route : `${route}${separator}${account}`
}

/**
 * Returns the number of tokens that wait on a route.
 *
 * @param tokens by {@link waitingKey}
 * @param account name of the account whose tokens count, or empty for those of no account; left out, all tokens of the route count
 */
export function tokensOf (tokens: ReadonlyMap<string, number>, route: string, account?: string): number {
  if (account !== undefined) {
    return tokens.get(waitingKey(route, account)) ?? 0
  }
  const prefix = `${route}${separator}`
  return [...tokens].reduce((sum, [key, count]) => key === route || key.startsWith(prefix) ? sum + count : sum, 0)
}
