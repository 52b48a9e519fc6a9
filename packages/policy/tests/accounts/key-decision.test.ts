/** Guards against revoked keys that stay valid, new keys that are called unknown, and outages of the store that end all service. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { decideKey, KeyVerdict } from '../../src/accounts/key-decision.js'
import type { KeyEvidence, RevocationRules } from '../../src/accounts/key-decision.js'

const rules: RevocationRules = { boundMilliseconds: 5_000, isStrict: false }
const strict: RevocationRules = { ...rules, isStrict: true }
const fresh: KeyEvidence = { isKnown: true, isReadable: true, isComplete: true, ageMilliseconds: 0, hasReadFailed: false, seesHalf: true }
const old = 5_001

describe('decideKey', () => {
  const cases: ReadonlyArray<readonly [name: string, evidence: Partial<KeyEvidence>, verdict: KeyVerdict, strictVerdict?: KeyVerdict]> = [
    ['a known key within the bound', {}, KeyVerdict.Admit],
    ['a known key at the bound', { ageMilliseconds: 5_000 }, KeyVerdict.Admit],
    ['an unknown key within the bound', { isKnown: false }, KeyVerdict.Unknown],
    ['an unknown key while some accounts cannot be decoded', { isKnown: false, isComplete: false }, KeyVerdict.Unconfirmed],
    ['a known key while other accounts cannot be decoded', { isComplete: false }, KeyVerdict.Admit],
    ['a known key while the newest configuration cannot be decoded', { isReadable: false }, KeyVerdict.Unconfirmed],
    ['an unknown key while the newest configuration cannot be decoded', { isKnown: false, isReadable: false }, KeyVerdict.Unconfirmed],
    ['a known key after a stop of 8 s', { ageMilliseconds: 8_000 }, KeyVerdict.Read],
    ['an unknown key after a stop of 8 s', { ageMilliseconds: 8_000, isKnown: false }, KeyVerdict.Read],
    ['a known key before the first read', { ageMilliseconds: Infinity }, KeyVerdict.Read],
    ['a known key while the store is unresponsive for all', { ageMilliseconds: old, hasReadFailed: true }, KeyVerdict.Admit, KeyVerdict.Unconfirmed],
    ['an unknown key while the store is unresponsive for all', { ageMilliseconds: old, hasReadFailed: true, isKnown: false }, KeyVerdict.Unconfirmed],
    ['a known key at an instance that is cut off', { ageMilliseconds: old, hasReadFailed: true, seesHalf: false }, KeyVerdict.Unconfirmed],
    ['a known key after a read that succeeded', { hasReadFailed: true, ageMilliseconds: 1 }, KeyVerdict.Admit],
    ['an unknown key after a read that succeeded', { hasReadFailed: true, ageMilliseconds: 1, isKnown: false }, KeyVerdict.Unknown]
  ]
  for (const [name, evidence, verdict, strictVerdict = verdict] of cases) {
    it(`on ${name}: ${verdict}, ${strictVerdict} if strict`, () => {
      assert.equal(decideKey({ ...fresh, ...evidence }, rules), verdict)
      assert.equal(decideKey({ ...fresh, ...evidence }, strict), strictVerdict)
    })
  }

  it('never calls a key unknown or asks for a second read by a configuration that is too old', () => {
    for (const isKnown of [true, false]) {
      for (const seesHalf of [true, false]) {
        const verdict = decideKey({ ...fresh, ageMilliseconds: old, hasReadFailed: true, isKnown, seesHalf }, rules)
        assert.ok(verdict === KeyVerdict.Admit || verdict === KeyVerdict.Unconfirmed)
      }
    }
  })
})
