/** Guards against keys that are judged by a configuration which is too old, and against a read of the configuration for each request. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { connect } from 'node:net'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { AccountDirectory } from '@arbutusloft/policy'
import type { Account } from '@arbutusloft/policy'
import { ClientAuthentication } from '../../src/accounts/client-authentication.js'
import { GatewayMetrics } from '../../src/metrics.js'
import type { Member } from '../../src/peers/member.js'
import type { PeerMessage } from '../../src/peers/peer-messages.js'
import { reply, Status } from '../../src/http/reply.js'
import { sleep } from '../../src/util/sleep.js'
import { createTestLogger } from '../util/test-logger.js'

const known = 'key-of-account'
const boundMilliseconds = 5_000
const self = '10.0.0.1'
const peers = ['10.0.0.2', '10.0.0.3']

function accountsOf (...keys: readonly string[]): AccountDirectory {
  const account: Account = { name: 'account', keys, rank: null, requestsPerSecond: 0, burst: 0 }
  return new AccountDirectory([account])
}

function memberAt (address: string): Member {
  return { address, zone: 'a', incarnation: 1, capacity: 1, state: 1 }
}

/** A server that answers each request with the name of its account. The store, the clocks and the other instances are fakes. */
class Door {
  readonly metrics = new GatewayMetrics()
  readonly lines: string[] = []
  accounts: AccountDirectory | null = accountsOf(known)
  isComplete = true
  isReadable = true
  age = 0
  live = [self, ...peers]
  reads = 0
  isPublic = false
  hasConfiguration = true
  /** What a read of the configuration does. */
  refresh: () => Promise<boolean> = async () => true
  #onMessage: () => void = () => {}
  readonly #authentication: ClientAuthentication
  readonly #server = createServer((request, response) => { void this.#serve(request, response) })

  private constructor (isStrict: boolean) {
    this.#authentication = new ClientAuthentication({
      configuration: () => this.hasConfiguration ? { accounts: this.accounts, isComplete: this.isComplete, isReadable: this.isReadable } : null,
      ageMilliseconds: () => this.age,
      refresh: async () => {
        this.reads += 1
        return await this.refresh()
      },
      rules: { boundMilliseconds, isStrict },
      membership: { live: () => this.live.map(memberAt) },
      transport: { onMessage: (listener: (message: PeerMessage, sender: string) => void) => { this.#onMessage = () => { listener({} as PeerMessage, '') } } },
      requestIdHeader: 'x-request-id',
      metrics: this.metrics,
      logger: createTestLogger(this.lines)
    })
  }

  static async open (context: TestContext, isStrict = false): Promise<Door> {
    const door = new Door(isStrict)
    await new Promise<void>(resolve => { door.#server.listen(0, '127.0.0.1', resolve) })
    context.after(() => {
      door.#server.closeAllConnections()
      door.#server.close()
    })
    return door
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  /** Lets the other instances be heard for some seconds, by a clock that the test sets. */
  hear (context: TestContext): void {
    let now = Date.now() - 4_000
    const clock = context.mock.method(Date, 'now', () => now)
    for (; now < performance.timeOrigin + performance.now(); now += 200) {
      this.#onMessage()
    }
    clock.mock.restore()
    this.#onMessage()
  }

  async send (authorization: string | null, method = 'POST', body: string | undefined = undefined): Promise<{ readonly status: number, readonly text: string, readonly headers: Headers }> {
    const response = await fetch(`http://127.0.0.1:${this.port}/`, { method, headers: { 'x-request-id': 'r1', ...(authorization === null ? {} : { authorization }) }, ...(body === undefined ? {} : { body }) })
    return { status: response.status, text: await response.text(), headers: response.headers }
  }

  async #serve (...[request, response]: Parameters<Parameters<typeof createServer>[1] & object>): Promise<void> {
    const identity = await this.#authentication.identify(request, response, { route: 'route', isPublic: () => this.isPublic })
    if (identity !== null) {
      reply(response, Status.Ok, { account: identity.account?.name ?? '' })
    }
  }
}

const store = {
  fails: async (): Promise<boolean> => false,
  isSilent: async (): Promise<boolean> => await new Promise(() => {})
}

describe('ClientAuthentication', () => {
  it('admits a known key and rejects others with 401, the reason and the scheme', async context => {
    const door = await Door.open(context)
    assert.deepEqual(await door.send(`bearer   ${known}`).then(({ status, text }) => [status, text]), [200, '{"account":"account"}'])
    for (const [value, reason] of [[null, /no Authorization/], ['Bearer other', /no client account/], ['Basic abc', /not of the form/], ['', /not of the form/]] as const) {
      const { status, text, headers } = await door.send(value, 'POST', 'a body that is not read')
      assert.equal(status, 401)
      assert.equal(headers.get('www-authenticate'), 'Bearer')
      assert.match((JSON.parse(text) as { error: string }).error, reason)
    }
  })

  it('serves the key of an account and requests without one where the route is public', async context => {
    const door = await Door.open(context)
    door.isPublic = true
    assert.deepEqual(await Promise.all([`Bearer ${known}`, 'Bearer other', 'odd', null].map(async value => (await door.send(value)).text)), [
      '{"account":"account"}', '{"account":""}', '{"account":""}', '{"account":""}'
    ])
  })

  it('reads the configuration before it rejects a key that was added, or admits one that was revoked, once the bound is passed', async context => {
    for (const [key, status] of [['added', 200], [known, 401]] as const) {
      const door = await Door.open(context)
      door.age = 8_000
      door.refresh = async () => {
        door.accounts = accountsOf('added')
        door.age = 0
        return true
      }
      assert.equal((await door.send(`Bearer ${key}`)).status, status)
      assert.equal(door.reads, 1)
    }
  })

  it('admits known keys while the store is out of reach for all, but not if strict, and never calls a key unknown', async context => {
    for (const refresh of [store.fails, store.isSilent]) {
      for (const isStrict of [false, true]) {
        const door = await Door.open(context, isStrict)
        door.hear(context)
        door.age = boundMilliseconds + 1
        door.refresh = refresh
        const [admitted, other] = await Promise.all([door.send(`Bearer ${known}`), door.send('Bearer other')])
        assert.equal(admitted?.status, isStrict ? 503 : 200)
        assert.equal(other?.status, 503)
        assert.equal(other?.headers.get('retry-after'), '0.250')
      }
    }
  })

  it('admits no key at an instance that hears or sees too few others', async context => {
    for (const isHeard of [false, true]) {
      const door = await Door.open(context)
      door.age = boundMilliseconds + 1
      door.refresh = store.fails
      if (isHeard) {
        door.hear(context)
        door.live = [self]
      }
      assert.equal((await door.send(`Bearer ${known}`)).status, 503)
    }
  })

  it('takes a read that took until the bound was passed again for none, as after a stop in the middle of it', async context => {
    const door = await Door.open(context)
    door.age = 8_000
    door.refresh = async () => true
    assert.equal((await door.send(`Bearer ${known}`)).status, 503)
  })

  it('starts at most one read in 250 ms for any number of requests, and waits for it no longer than 300 ms', async context => {
    const door = await Door.open(context)
    door.hear(context)
    door.age = boundMilliseconds + 1
    door.refresh = store.fails
    const startedAt = performance.now()
    for (let round = 0; round < 10; round += 1) {
      await Promise.all(Array.from({ length: 30 }, async (_, number) => { await door.send(number % 2 === 0 ? `Bearer ${known}` : 'Bearer other') }))
    }
    const allowed = 1 + Math.floor((performance.now() - startedAt) / 250)
    assert.ok(door.reads >= 1 && door.reads <= allowed, `${door.reads} reads, ${allowed} allowed`)
  })

  it('does not let all requests with known keys wait while the store is silent', async context => {
    const door = await Door.open(context)
    door.hear(context)
    door.age = boundMilliseconds + 1
    door.refresh = store.isSilent
    await door.send(`Bearer ${known}`)
    const startedAt = performance.now()
    for (let number = 0; number < 10; number += 1) {
      assert.equal((await door.send(`Bearer ${known}`)).status, 200)
    }
    // Each of them would wait for 300 ms.
    assert.ok(performance.now() - startedAt < 1_000)
  })

  it('answers 503 before the first configuration, while the newest cannot be decoded, and for unknown keys while accounts are missing', async context => {
    const door = await Door.open(context)
    door.isComplete = false
    assert.equal((await door.send(`Bearer ${known}`)).status, 200)
    assert.equal((await door.send('Bearer other')).status, 503)
    door.isReadable = false
    assert.equal((await door.send(`Bearer ${known}`)).status, 503)
    door.hasConfiguration = false
    assert.equal((await door.send(`Bearer ${known}`)).status, 503)
  })

  it('serves all requests where there are no accounts, without a read', async context => {
    const door = await Door.open(context)
    door.accounts = null
    door.age = Infinity
    assert.equal((await door.send(null)).status, 200)
    assert.equal((await door.send('Bearer any')).status, 200)
    assert.equal(door.reads, 0)
  })

  it('logs rejected keys by reason, no more than ten a second, and never the key', async context => {
    const door = await Door.open(context)
    const start = Math.ceil(Date.now() / 1_000) * 1_000
    await sleep(start - Date.now())
    for (let number = 0; number < 40; number += 1) {
      await door.send('Bearer secret-of-nobody')
    }
    const inFirstSecond = door.lines.filter(line => Date.parse((JSON.parse(line) as { time: string }).time) < start + 1_000).length
    assert.ok(inFirstSecond <= 10, `${inFirstSecond} lines`)
    await sleep(start + 1_010 - Date.now())
    await door.send('Bearer secret-of-nobody')
    const last = JSON.parse(door.lines.at(-1) ?? '{}') as Record<string, unknown>
    assert.deepEqual([last.message, last.request, last.route, last.reason], ['key rejected', 'r1', 'route', 'unknown'])
    assert.ok(Number(last.omitted) > 0)
    const metrics = await door.metrics.registry.metrics()
    assert.match(metrics, /arbutus_gateway_rejected_keys_total\{reason="unknown"\} 41/)
    assert.ok(!(metrics + door.lines.join('')).includes('secret-of-nobody'))
  })

  it('survives any Authorization header, and keeps the connection usable', async context => {
    const door = await Door.open(context)
    const socket = connect(door.port, '127.0.0.1')
    context.after(() => { socket.destroy() })
    let received = ''
    socket.on('data', data => { received += data.toString('latin1') })
    const rounds = 300
    for (let round = 0; round < rounds; round += 1) {
      const lines = Array.from({ length: Math.floor(Math.random() * 3) }, () => `${randomCase('Authorization')}: ${randomValue()}\r\n`)
      socket.write(Buffer.from(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n${lines.join('')}\r\nhello`, 'latin1'))
      const wanted = round + 1
      while (countOf(received, 'HTTP/1.1 ') < wanted && !socket.destroyed) {
        await sleep(1)
      }
    }
    const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1])
    assert.equal(statuses.length, rounds)
    assert.deepEqual([...new Set(statuses)], ['401'])
  })
})

function randomCase (text: string): string {
  return [...text].map(character => Math.random() < 0.5 ? character.toLowerCase() : character.toUpperCase()).join('')
}

/** Returns a value that a header may have, and that holds no known key. */
function randomValue (): string {
  const parts = ['Bearer', 'bearer', ' ', '\t', ',', ';', '=', '"', 'Basic', 'x'.repeat(2_000), 'é', 'ÿ', '%00', '../', 'key-of-accoun', '__proto__', 'null']
  return Array.from({ length: Math.floor(Math.random() * 6) }, () => parts[Math.floor(Math.random() * parts.length)] ?? '').join('')
}

function countOf (text: string, part: string): number {
  return text.split(part).length - 1
}
