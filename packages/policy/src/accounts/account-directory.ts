/** The client accounts of one version of the configuration, by key and by name. */
import type { Account } from './account.js'

/** Finds accounts. A key or name that several accounts share belongs to the first of them. */
export class AccountDirectory {
  readonly #byKey = new Map<string, Account>()
  readonly #byName = new Map<string, Account>()

  constructor (accounts: readonly Account[]) {
    for (const account of accounts) {
      if (!this.#byName.has(account.name)) {
        this.#byName.set(account.name, account)
      }
      for (const key of account.keys) {
        if (!this.#byKey.has(key)) {
          this.#byKey.set(key, account)
        }
      }
    }
  }

  /** Returns the account that holds a key, or null if none does. */
  findByKey (key: string): Account | null {
    return this.#byKey.get(key) ?? null
  }

  /** Returns the account of a name, or null if there is none. */
  findByName (name: string): Account | null {
    return this.#byName.get(name) ?? null
  }
}
