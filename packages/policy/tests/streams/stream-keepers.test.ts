/** Tests that the keepers of an attempt are the same everywhere, spread over all processes, and mostly stay when members change. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StreamKeepers } from '../../src/index.js'

const attempts = Array.from({ length: 3_000 }, (_, index) => (0x9c41d07be2a35f68n + BigInt(index)).toString(16))

function addressesOf (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `10.0.${index >>> 8}.${index % 256}`)
}

describe('StreamKeepers', () => {
  for (const count of [3, 12, 76, 195]) {
    it(`spreads attempts over all of ${count} processes`, () => {
      const keepers = new StreamKeepers()
      const kept = new Map<string, number>()
      for (const attempt of attempts) {
        const chosen = keepers.of(attempt, addressesOf(count), 3)
        assert.equal(new Set(chosen).size, 3)
        chosen.forEach(address => kept.set(address, (kept.get(address) ?? 0) + 1))
      }
      const mean = attempts.length * 3 / count
      // Five standard deviations.
      const spread = 5 * Math.sqrt(mean)
      for (const address of addressesOf(count)) {
        assert.ok(Math.abs((kept.get(address) ?? 0) - mean) <= spread, `${address} keeps ${kept.get(address)} of ${mean}`)
      }
    })
  }

  it('chooses the same in whatever order the addresses come, and all if there are fewer', () => {
    for (const attempt of attempts.slice(0, 100)) {
      const expected = new StreamKeepers().of(attempt, addressesOf(40), 6)
      assert.deepEqual(new StreamKeepers().of(attempt, addressesOf(40).reverse(), 6), expected)
    }
    assert.deepEqual(new Set(new StreamKeepers().of('a', addressesOf(2), 3)), new Set(addressesOf(2)))
    assert.deepEqual(new StreamKeepers().of('a', [], 3), [])
  })

  it('keeps the order of those that stay when others leave', () => {
    const keepers = new StreamKeepers()
    for (const attempt of attempts.slice(0, 200)) {
      const all = keepers.of(attempt, addressesOf(40), 40)
      const staying = addressesOf(40).filter((_, index) => index % 3 === 0)
      assert.deepEqual(keepers.of(attempt, staying, 40), all.filter(address => staying.includes(address)))
    }
  })
})
