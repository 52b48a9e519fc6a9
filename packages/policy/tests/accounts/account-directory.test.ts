import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AccountDirectory } from '../../src/accounts/account-directory.js'
import type { Account } from '../../src/accounts/account.js'

function account (name: string, keys: readonly string[]): Account {
  return { name, keys, rank: 0, requestsPerSecond: 0, burst: 0 }
}

describe('AccountDirectory', () => {
  const directory = new AccountDirectory([account('north', ['key-1', 'key-2']), account('south', ['key-3', 'key-1'])])

  it('finds an account by each of its keys', () => {
    assert.equal(directory.findByKey('key-2')?.name, 'north')
    assert.equal(directory.findByKey('key-3')?.name, 'south')
  })

  it('gives a key that two accounts hold to the first, so that all instances decide alike', () => {
    assert.equal(directory.findByKey('key-1')?.name, 'north')
  })

  it('knows no key by a part of it, an empty text or the name of a property', () => {
    for (const key of ['key', '', 'key-1 ', '__proto__', 'constructor']) {
      assert.equal(directory.findByKey(key), null)
    }
  })

  it('finds an account by name', () => {
    assert.equal(directory.findByName('south')?.keys[0], 'key-3')
    assert.equal(directory.findByName('west'), null)
  })
})
