import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { bearerKeyOf, KeyFault } from '../../src/accounts/bearer-key.js'

describe('bearerKeyOf', () => {
  it('reads a key behind the scheme in any case and any number of spaces', () => {
    for (const value of ['Bearer abc.1', 'bearer abc.1', 'BEARER   abc.1', 'Bearer abc.1 ']) {
      assert.deepEqual(bearerKeyOf([value]), { key: 'abc.1' })
    }
  })

  it('tells a missing header from a malformed one', () => {
    assert.deepEqual(bearerKeyOf([]), { fault: KeyFault.Missing })
    for (const value of ['', 'Bearer', 'Bearer ', 'abc', 'Basic abc', 'Bearer a b', 'Bearer a,b c', 'Bearer \u0000', 'Bearer \u00e9']) {
      assert.deepEqual(bearerKeyOf([value]), { fault: KeyFault.Malformed }, value)
    }
  })

  it('takes none of two headers, since it is not certain which one the client means', () => {
    assert.deepEqual(bearerKeyOf(['Bearer abc', 'Bearer abc']), { fault: KeyFault.Duplicate })
    assert.deepEqual(bearerKeyOf(['', 'Bearer abc']), { fault: KeyFault.Duplicate })
  })
})
