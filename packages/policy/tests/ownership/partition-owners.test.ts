/** Tests the division of partitions among members. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { partitionOwners } from '../../src/index.js'

function candidates (count: number, capacity = 1_000): ReadonlyArray<{ readonly address: string, readonly capacity: number }> {
  return Array.from({ length: count }, (_, number) => ({ address: `10.0.${number % 5}.${number}`, capacity }))
}

function countsOf (owners: ReadonlyArray<{ readonly address: string } | null>): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const owner of owners) {
    counts.set(owner?.address ?? '', (counts.get(owner?.address ?? '') ?? 0) + 1)
  }
  return counts
}

describe('partitionOwners', () => {
  it('gives each partition to one of the candidates, whatever their order', () => {
    const members = candidates(12)
    const owners = partitionOwners(members, 24)
    assert.deepEqual(partitionOwners([...members].reverse(), 24), owners)
    assert.ok(owners.every(owner => owner !== null && members.includes(owner)))
  })

  it('has no owners without candidates', () => {
    assert.deepEqual(partitionOwners([], 2), [null, null])
  })

  it('moves only the partitions of a member that leaves', () => {
    const members = candidates(40)
    const [gone] = members
    const before = partitionOwners(members, 48)
    const after = partitionOwners(members.slice(1), 48)
    before.forEach((owner, partition) => { assert.ok(owner === gone || owner === after[partition]) })
  })

  it('divides evenly, in proportion to the capacities', () => {
    const weak = candidates(10, 300)
    const strong = candidates(10, 900).map(({ address, capacity }) => ({ address: `${address}9`, capacity }))
    const counts = countsOf(partitionOwners([...weak, ...strong], 8_000))
    const sumOf = (members: typeof weak): number => members.reduce((sum, { address }) => sum + (counts.get(address) ?? 0), 0)
    assert.ok(Math.abs(sumOf(weak) / 8_000 - 0.25) < 0.02, `${sumOf(weak)}`)
    for (const { address } of strong) {
      assert.ok(Math.abs((counts.get(address) ?? 0) - 600) < 120, `${address}: ${counts.get(address)}`)
    }
  })
})
