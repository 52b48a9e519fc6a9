/**
 * Plays a fleet of 61 instances with their real membership over an in-memory network: a part of it loses the store and the others, one instance does, or
 * all lose the store. Guards against a part that takes its own loss of the store for one of all instances and serves keys that are revoked meanwhile.
 */
import assert from 'node:assert/strict'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { AccountDirectory } from '@arbutusloft/policy'
import { ClientAuthentication } from '../../src/accounts/client-authentication.js'
import { GatewayMetrics } from '../../src/metrics.js'
import { Membership } from '../../src/peers/membership.js'
import { MemberState } from '../../src/peers/member.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const size = 61
const boundMilliseconds = 5_000
const stepMilliseconds = 10
const key = 'key'
const accounts = new AccountDirectory([{ name: 'account', keys: [key], rank: null, requestsPerSecond: 0, burst: 0 }])

interface Instance {
  readonly address: string
  readonly membership: Membership
  readonly authentication: ClientAuthentication
}

describe('keys in a fleet that loses the store', () => {
  let network: LoopbackNetwork
  let instances: Instance[]
  /** Addresses of the instances that have lost the store, and when, in milliseconds since the epoch. */
  let withoutStore: ReadonlySet<string>
  let lostAt: number

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date', 'setTimeout', 'setInterval'], now: 1_790_000_000_000 })
    network = new LoopbackNetwork()
    withoutStore = new Set()
    lostAt = Infinity
    instances = Array.from({ length: size }, (_, index) => start(`10.0.${index % 3}.${index + 1}`, index))
    advance(3_000)
    instances.forEach(({ membership }) => { membership.setState(MemberState.Ready) })
    advance(8_000)
    assert.ok(instances.every(({ membership }) => membership.live().length === size))
  })

  afterEach(() => {
    instances.forEach(({ membership }) => { membership.close() })
    mock.timers.reset()
  })

  function start (address: string, index: number): Instance {
    const transport = network.join(address)
    const membership = new Membership(transport, { zone: `zone-${index % 4}`, incarnation: 1_780_000_000_000 + index, capacity: 1_000, seeds: ['10.0.0.1', '10.0.1.2'] }, createTestLogger())
    const authentication = new ClientAuthentication({
      configuration: () => ({ accounts, isComplete: true, isReadable: true }),
      ageMilliseconds: () => withoutStore.has(address) ? Date.now() - lostAt : 0,
      refresh: async () => !withoutStore.has(address),
      rules: { boundMilliseconds, isStrict: false },
      membership,
      transport,
      requestIdHeader: 'x-request-id',
      metrics: new GatewayMetrics(),
      logger: createTestLogger()
    })
    return { address, membership, authentication }
  }

  function advance (milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
      mock.timers.tick(stepMilliseconds)
    }
  }

  function loseStore (addresses: readonly string[]): void {
    withoutStore = new Set(addresses)
    lostAt = Date.now()
  }

  /** Returns how many of the instances admit a request with the key. */
  async function admittedBy (asked: readonly Instance[]): Promise<number> {
    const request = { rawHeaders: ['Authorization', `Bearer ${key}`], headers: {} } as unknown as IncomingMessage
    const identities = await Promise.all(asked.map(async ({ authentication }) => {
      const response = { headersSent: false, destroyed: false, once: () => {}, writeHead: () => {}, end: () => {} } as unknown as ServerResponse
      return await authentication.identify(request, response, { route: 'route', isPublic: () => false })
    }))
    return identities.filter(identity => identity !== null).length
  }

  for (const count of [1, 2, 12, 20, 28]) {
    it(`are refused beyond the bound by ${count} instances that are cut off from the store and the others, and served by those`, async () => {
      const cutOff = instances.slice(0, count)
      const others = instances.slice(count)
      network.divide(new Set(cutOff.map(({ address }) => address)))
      loseStore(cutOff.map(({ address }) => address))
      advance(boundMilliseconds - 100)
      assert.equal(await admittedBy(cutOff), count)
      advance(200)
      for (let checked = 0; checked < 15; checked += 1) {
        assert.equal(await admittedBy(cutOff), 0, `${Date.now() - lostAt} ms after the cut`)
        assert.equal(await admittedBy(others), others.length)
        advance(1_000)
      }
      network.divide(new Set())
      withoutStore = new Set()
      assert.equal(await admittedBy(cutOff), count)
    })
  }

  it('are served while all instances have lost the store', async () => {
    loseStore(instances.map(({ address }) => address))
    advance(boundMilliseconds + 100)
    for (let checked = 0; checked < 15; checked += 1) {
      assert.equal(await admittedBy(instances), size, `${Date.now() - lostAt} ms after the loss`)
      advance(1_000)
    }
  })

  it('are refused by an instance that was stopped for 8 s meanwhile, until it has heard the others for a while', async () => {
    loseStore(instances.map(({ address }) => address))
    const [stopped] = instances
    assert.ok(stopped !== undefined)
    network.pause(stopped.address)
    advance(8_000)
    network.unpause(stopped.address)
    advance(stepMilliseconds)
    assert.equal(await admittedBy([stopped]), 0)
    advance(10_000)
    assert.equal(await admittedBy([stopped]), 1)
  })
})
