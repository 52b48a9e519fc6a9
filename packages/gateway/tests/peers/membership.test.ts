/** Tests gossip and failure detection over an in-memory network, with mocked timers and a seeded random generator. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Membership, MemberState } from '../../src/index.js'
import type { Member } from '../../src/index.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const unseededRandom = Math.random

describe('Membership', () => {
  let network: LoopbackNetwork
  let members: Membership[]

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date', 'setTimeout', 'setInterval'], now: 1_000_000 })
    network = new LoopbackNetwork()
    members = []
  })

  afterEach(() => {
    for (const member of members) {
      member.close()
    }
    mock.timers.reset()
    Math.random = unseededRandom
  })

  function join (address: string, capacity = 1_000, incarnation = 1): Membership {
    const seeds = ['10.0.0.1', '10.0.0.2']
    const member = new Membership(network.join(address), { zone: 'a', incarnation, capacity, seeds }, createTestLogger())
    members.push(member)
    return member
  }

  function advance (milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += 1) {
      mock.timers.tick(1)
    }
  }

  it('does not reply to gossip endlessly', () => {
    const [first, second] = [join('10.0.0.1'), join('10.0.0.2')]
    advance(700)
    first.setState(MemberState.Ready)
    second.setState(MemberState.Ready)
    const before = network.sent
    advance(3_000)
    // Ten rounds of two members with at most three messages each.
    assert.ok(network.sent - before <= 60, `${network.sent - before} messages in three seconds`)
  })

  it('discovers all members through the seed addresses', () => {
    const all = [1, 2, 3, 4, 5, 6].map(number => join(`10.0.0.${number}`))
    advance(4_000)
    for (const member of all) {
      assert.equal(member.live().length, 6)
    }
  })

  it('announces at once that a member drains', () => {
    const [first, second] = [join('10.0.0.1'), join('10.0.0.2')]
    advance(700)
    first.setState(MemberState.Ready)
    second.setState(MemberState.Ready)
    advance(10)
    assert.equal(second.ready().length, 2)
    first.setState(MemberState.Draining)
    advance(10)
    assert.deepEqual(second.ready().map(member => member.address), ['10.0.0.2'])
  })

  it('detects an unreachable member as failed, and as live once it is reachable again', () => {
    const [first, second] = [join('10.0.0.1'), join('10.0.0.2')]
    advance(700)
    first.setState(MemberState.Ready)
    advance(10)
    network.isolate('10.0.0.1')
    advance(2_000)
    assert.equal(second.live().length, 1)
    network.reconnect('10.0.0.1')
    advance(2_000)
    assert.equal(second.live().length, 2)
  })

  it('lets only members with about the greatest capacity own services', () => {
    const all = [join('10.0.0.1', 300), join('10.0.0.2', 1_350), join('10.0.0.3', 1_300)]
    advance(1_500)
    for (const member of all) {
      member.setState(MemberState.Ready)
    }
    advance(10)
    assert.deepEqual(all[0]?.ownerCandidates().map(member => member.address).sort(), ['10.0.0.2', '10.0.0.3'])
  })

  describe('that is cut off from targets', () => {
    let detached: Membership
    let others: readonly Membership[]

    beforeEach(() => {
      const all = [1, 2, 3].map(number => join(`10.0.0.${number}`))
      const [first, ...rest] = all
      assert.ok(first !== undefined)
      detached = first
      others = rest
      advance(1_500)
      for (const member of all) {
        member.setState(MemberState.Ready)
      }
      advance(100)
    })

    function addresses (members: readonly Member[]): readonly string[] {
      return members.map(({ address }) => address).sort()
    }

    it('is ready and an owner as before, but relays for nobody', () => {
      let changes = 0
      others.forEach(member => { member.onChange(() => { changes += 1 }) })
      detached.onChange(() => { changes += 1 })
      detached.setDetached(true)
      advance(100)
      for (const member of others) {
        assert.equal(member.live().find(({ address }) => address === '10.0.0.1')?.state, MemberState.Detached)
        assert.equal(member.ready().length, 3)
        assert.equal(member.ownerCandidates().length, 3)
        assert.ok(!addresses(member.relaysByDistance()).includes('10.0.0.1'))
      }
      assert.equal(detached.ready().length, 3)
      assert.deepEqual(addresses(detached.relaysByDistance()), ['10.0.0.2', '10.0.0.3'])
      assert.equal(changes, 0)
    })

    it('stays detached when its configuration is set again, until it reaches targets', () => {
      detached.setDetached(true)
      detached.setState(MemberState.Ready)
      assert.equal(detached.state, MemberState.Detached)
      detached.setDetached(false)
      advance(100)
      assert.equal(detached.state, MemberState.Ready)
      assert.ok(others.every(member => addresses(member.relaysByDistance()).includes('10.0.0.1')))
    })

    it('may still relay while it drains', () => {
      detached.setState(MemberState.Draining)
      advance(100)
      for (const member of others) {
        assert.equal(member.relaysByDistance().find(({ address }) => address === '10.0.0.1')?.state, MemberState.Draining)
      }
    })

    it('stays draining', () => {
      detached.setState(MemberState.Draining)
      detached.setDetached(true)
      detached.setDetached(false)
      assert.equal(detached.state, MemberState.Draining)
      detached.setDetached(true)
      advance(100)
      assert.ok(others.every(member => addresses(member.ready()).join() === '10.0.0.2,10.0.0.3'))
    })

    it('drains at once', () => {
      detached.setDetached(true)
      advance(100)
      detached.setState(MemberState.Draining)
      advance(100)
      assert.ok(others.every(member => member.ready().length === 2))
    })

    it('is detached once it becomes ready', () => {
      const starting = join('10.0.0.4')
      starting.setDetached(true)
      assert.equal(starting.state, MemberState.Starting)
      starting.setState(MemberState.Ready)
      assert.equal(starting.state, MemberState.Detached)
    })
  })

  it('does not clear a suspicion because of gossip that is older than the suspicion', () => {
    const all = [1, 2, 3, 4, 5, 6].map(number => join(`10.0.0.${number}`))
    advance(3_000)
    for (const member of all) {
      member.setState(MemberState.Ready)
    }
    advance(600)
    network.isolate('10.0.0.1')
    // Delivers the datagrams that are in flight.
    advance(5)
    const others = all.slice(1)
    for (const member of others) {
      member.suspect('10.0.0.1')
    }
    for (let passed = 0; passed < 2_500; passed += 1) {
      advance(1)
      for (const member of others) {
        assert.ok(!member.ready().some(ready => ready.address === '10.0.0.1'), `no longer suspected after ${passed} ms`)
      }
    }
  })

  it('is a member again after a restart with a clock that was set back, under an incarnation later than its former one', () => {
    const first = join('10.0.0.1')
    const former = join('10.0.0.3', 1_000, 500)
    advance(700)
    first.setState(MemberState.Ready)
    former.setState(MemberState.Ready)
    advance(300)
    assert.ok(first.ready().some(({ address, incarnation }) => address === '10.0.0.3' && incarnation === 500))
    former.close()
    const restarted = join('10.0.0.3', 1_000, 20)
    advance(700)
    restarted.setState(MemberState.Ready)
    advance(2_000)
    assert.ok(restarted.self.incarnation > 500)
    assert.ok(first.ready().some(({ address, incarnation }) => address === '10.0.0.3' && incarnation === restarted.self.incarnation))
  })

  it('excludes a suspected member from the ready members until it is heard from again', () => {
    const [first, second] = [join('10.0.0.1'), join('10.0.0.2')]
    advance(700)
    first.setState(MemberState.Ready)
    advance(10)
    network.isolate('10.0.0.1')
    second.suspect('10.0.0.1')
    assert.equal(second.ready().length, 0)
    network.reconnect('10.0.0.1')
    advance(1_000)
    assert.equal(second.ready().length, 1)
  })

  // The fleet sizes of the users' deployments, and larger ones.
  for (const [count, seed] of [[12, 2], [18, 1], [18, 3], [76, 1], [76, 2], [150, 3]] as const) {
    it(`detects none of ${count} live members as failed, within the limits for traffic and datagrams (seed ${seed})`, () => {
      seedRandom(seed)
      for (let number = 1; number <= count; number += 1) {
        const address = `10.${number % 3}.${Math.floor(number / 200)}.${number % 200}`
        const options = { zone: `zone-${number % 3}`, incarnation: 1_780_000_000_000 + number * 977, capacity: 1_350, seeds: ['10.0.0.3', '10.1.0.1'] }
        members.push(new Membership(network.join(address), options, createTestLogger()))
      }
      advanceCoarsely(12_000)
      members.forEach(member => { member.setState(MemberState.Ready) })
      advanceCoarsely(6_000)
      let changes = 0
      members.forEach(member => { member.onChange(() => { changes += 1 }) })
      const before = network.bytes
      advanceCoarsely(9_000)
      assert.deepEqual([...new Set(members.map(member => member.ready().length))], [count])
      assert.equal(changes, 0)
      const bytesPerSecond = (network.bytes - before) / count / 9
      assert.ok(bytesPerSecond < 10_000, `${bytesPerSecond} bytes a second`)
      assert.ok(network.largestMessageBytes <= 1_472, `${network.largestMessageBytes} bytes in a datagram`)
    })
  }
})

/** Replaces `Math.random` by a seeded generator; a mock function would keep a record of every call in memory. */
function seedRandom (seed: number): void {
  const generator = xoroshiro128plus(seed)
  const range = 2 ** 30
  Math.random = () => uniformInt(generator, 0, range - 1) / range
}

function advanceCoarsely (milliseconds: number): void {
  const step = 10
  for (let passed = 0; passed < milliseconds; passed += step) {
    mock.timers.tick(step)
  }
}
