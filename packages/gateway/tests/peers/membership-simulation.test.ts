/**
 * Simulates fleets of several sizes over an in-memory network with loss, pauses, cuts and the death of most members, with
 * mocked timers and a seeded random generator. A failed member must leave the ready members of all others within two
 * seconds, a living one must come back, and neither traffic nor delay may grow with the fleet.
 */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Membership, MemberState } from '../../src/index.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const unseededRandom = Math.random
const stepMilliseconds = 10
/** The users' promise: a dead member is out of the answers with addresses and out of duties. */
const removalMilliseconds = 2_000
/** Time in which a living member that was cut off or paused is ready again for all others. */
const returnMilliseconds = 4_000

describe('Membership of a fleet', () => {
  let network: LoopbackNetwork
  let members: Map<string, Membership>

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date', 'setTimeout', 'setInterval'], now: 1_000_000 })
    network = new LoopbackNetwork()
    members = new Map()
  })

  afterEach(() => {
    members.forEach(member => { member.close() })
    mock.timers.reset()
    Math.random = unseededRandom
  })

  function start (count: number, seed: number): void {
    seedRandom(seed)
    for (let number = 1; number <= count; number += 1) {
      const address = `10.${number % 3}.${Math.floor(number / 200)}.${number % 200}`
      const options = { zone: `zone-${number % 3}`, incarnation: 1_780_000_000_000 + number * 977, capacity: 1_350, seeds: ['10.0.0.3', '10.1.0.1'] }
      members.set(address, new Membership(network.join(address), options, createTestLogger()))
    }
    advance(2_000)
    members.forEach(member => { member.setState(MemberState.Ready) })
    advance(4_000)
    assert.deepEqual(sizesSeenBy([...members.keys()]), [count])
  }

  /** Returns the different numbers of ready members that the given members see. */
  function sizesSeenBy (addresses: readonly string[]): readonly number[] {
    return [...new Set(addresses.map(address => members.get(address)?.ready().length ?? 0))]
  }

  function kill (addresses: readonly string[]): void {
    for (const address of addresses) {
      network.isolate(address)
      members.get(address)?.close()
    }
  }

  function addressesFrom (first: number, count: number): readonly string[] {
    return [...members.keys()].slice(first, first + count)
  }

  function seesAny (observer: string, addresses: ReadonlySet<string>): boolean {
    return members.get(observer)?.ready().some(member => addresses.has(member.address)) === true
  }

  for (const [count, seed] of [[12, 1], [30, 1], [30, 2], [195, 3], [300, 4]] as const) {
    it(`removes a dead member of ${count} everywhere within two seconds (seed ${seed})`, () => {
      start(count, seed)
      const [dead = ''] = addressesFrom(Math.floor(count / 2), 1)
      kill([dead])
      advance(removalMilliseconds)
      const observers = [...members.keys()].filter(address => address !== dead)
      assert.deepEqual(observers.filter(address => seesAny(address, new Set([dead]))), [])
      assert.deepEqual(sizesSeenBy(observers), [count - 1])
    })
  }

  for (const [count, seed] of [[30, 1], [195, 2], [300, 3]] as const) {
    it(`removes 55% of ${count} members that die at once within two seconds (seed ${seed})`, () => {
      start(count, seed)
      const dead = new Set(addressesFrom(0, Math.floor(count * 0.55)))
      kill([...dead])
      advance(removalMilliseconds)
      const observers = [...members.keys()].filter(address => !dead.has(address))
      assert.deepEqual(observers.filter(address => seesAny(address, dead)), [])
      advance(returnMilliseconds)
      assert.deepEqual(sizesSeenBy(observers), [observers.length])
    })
  }

  it('takes no living member for dead while one in fifty messages is lost', () => {
    start(76, 1)
    network.loss = 0.02
    let changes = 0
    members.forEach(member => { member.onChange(() => { changes += 1 }) })
    advance(20_000)
    assert.equal(changes, 0)
  })

  it('takes a paused member back everywhere, and removes it meanwhile', () => {
    start(76, 2)
    const [paused = ''] = addressesFrom(10, 1)
    const observers = [...members.keys()].filter(address => address !== paused)
    network.pause(paused)
    advance(4_000)
    assert.deepEqual(sizesSeenBy(observers), [75])
    network.unpause(paused)
    advance(returnMilliseconds)
    assert.deepEqual(sizesSeenBy([...members.keys()]), [76])
  })

  it('keeps a member that receives nothing from accusing the others, and takes it back', () => {
    start(76, 3)
    const [deaf = ''] = addressesFrom(10, 1)
    const observers = [...members.keys()].filter(address => address !== deaf)
    network.deafen(deaf)
    for (let passed = 0; passed < 5_000; passed += 100) {
      advance(100)
      for (const observer of observers) {
        assert.ok((members.get(observer)?.ready().length ?? 0) >= 75, `${observer} sees too few after ${passed} ms`)
      }
    }
    network.undeafen(deaf)
    advance(returnMilliseconds)
    assert.deepEqual(sizesSeenBy([...members.keys()]), [76])
  })

  it('brings the halves of a divided fleet together again', () => {
    start(76, 4)
    const half = new Set(addressesFrom(0, 38))
    network.divide(half)
    advance(6_000)
    assert.deepEqual(sizesSeenBy([...members.keys()]), [38])
    network.divide(new Set())
    advance(2 * returnMilliseconds)
    assert.deepEqual(sizesSeenBy([...members.keys()]), [76])
  })

  it('takes a process back whose clock has gone back since the former process at its address', () => {
    start(12, 5)
    const [address = ''] = addressesFrom(5, 1)
    kill([address])
    advance(6_000)
    network.reconnect(address)
    const options = { zone: 'zone-0', incarnation: 1_770_000_000_000, capacity: 1_350, seeds: ['10.0.0.3', '10.1.0.1'] }
    const successor = new Membership(network.join(address), options, createTestLogger())
    members.set(address, successor)
    successor.setState(MemberState.Ready)
    advance(returnMilliseconds)
    assert.deepEqual(sizesSeenBy([...members.keys()]), [12])
  })

  it('sends the same number of messages and bytes a member in fleets of 30 and of 300', () => {
    const [small, large] = [30, 300].map(count => {
      network = new LoopbackNetwork()
      members.forEach(member => { member.close() })
      members = new Map()
      start(count, 6)
      advance(4_000)
      const before = { sent: network.sent, bytes: network.bytes }
      advance(10_000)
      return { sent: (network.sent - before.sent) / count, bytes: (network.bytes - before.bytes) / count }
    })
    assert.ok((large?.sent ?? 0) < 1.1 * (small?.sent ?? 0), `${small?.sent} and ${large?.sent} messages`)
    assert.ok((large?.bytes ?? 0) < 1.1 * (small?.bytes ?? 0), `${small?.bytes} and ${large?.bytes} bytes`)
    // A probe and its response, sent and received, three times a second.
    assert.ok((large?.sent ?? 0) < 10 * 8, `${large?.sent} messages in ten seconds`)
  })
})

/** Replaces `Math.random` by a seeded generator; a mock function would keep a record of every call in memory. */
function seedRandom (seed: number): void {
  const generator = xoroshiro128plus(seed)
  const range = 2 ** 30
  Math.random = () => uniformInt(generator, 0, range - 1) / range
}

function advance (milliseconds: number): void {
  for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
    mock.timers.tick(stepMilliseconds)
  }
}
