/** Tests the rate limits of accounts with holders and owners of slots over an in-memory network: failures of owners, lost datagrams, clocks. */
import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { AccountDirectory, CrashQuarantine, ownersOf, SlotOutcome, VersionHistory } from '@arbutusloft/policy'
import type { Account, AllowanceOptions } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { GatewayMetrics, Membership, MemberState, PeerMessageType, sleep, SlotClient, TargetFreshness, TargetRegistry, TargetState } from '../../src/index.js'
import type { PeerMessage, PeerTransport, SlotDemand, Target } from '../../src/index.js'
import { AccountLimits } from '../../src/accounts/account-limits.js'
import { SteadyClock } from '../../src/util/steady-clock.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import type { LoopbackTransport } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const options: AllowanceOptions = { windowMilliseconds: 2_000, overage: 0.1, slack: 8 }
const flooding: Account = { name: 'flooding', keys: ['secret'], rank: null, requestsPerSecond: 10, burst: 10 }
const moderate: Account = { name: 'moderate', keys: [], rank: null, requestsPerSecond: 20, burst: 10 }
const allowance = 30
const bound = allowance * 1.1 + 8
const target: Target = { id: 'one', service: 's', address: '1:1', zone: 'a', slots: 1_000, state: TargetState.Ready, born: 1_000, softwareVersion: 'v1' }
const demand: SlotDemand = { service: 's', workClass: WorkClass.Online, prefix: [], digest: '', excluded: [], continues: null, patience: 700, spent: 0, latestReturn: 500, due: 0, ran: 0, sinceStart: 0 }
const allowanceTypes: ReadonlySet<PeerMessage['type']> = new Set([PeerMessageType.AccountCharges, PeerMessageType.AccountUsage, PeerMessageType.AccountChargesQuery])

class TestMember {
  readonly membership: Membership
  readonly slots: SlotClient
  readonly limits: AccountLimits
  readonly metrics = new GatewayMetrics()
  readonly #targets = new TargetRegistry()

  constructor (readonly transport: PeerTransport, incarnation: number, clock = new SteadyClock()) {
    const logger = createTestLogger()
    this.membership = new Membership(transport, { zone: 'a', incarnation, capacity: 1, seeds: ['10.0.0.1', '10.0.0.2'] }, logger)
    this.limits = new AccountLimits({ options, membership: this.membership, transport, owners: () => this.slots.owners, metrics: this.metrics, logger, clock })
    this.slots = new SlotClient(this.membership, transport, this.#targets, new TargetFreshness(), new CrashQuarantine(), new VersionHistory(), this.limits.charging)
    this.limits.start()
    this.#targets.replace([target])
  }

  configure (accounts: readonly Account[] | null): void {
    this.slots.owners.learn(['s'])
    this.limits.configure(accounts === null ? null : new AccountDirectory(accounts))
  }

  /** Asks for a slot and releases it; returns whether it was granted, or the milliseconds after which to come again. */
  async request (account: string, outcome: SlotOutcome = SlotOutcome.Finished): Promise<boolean | number> {
    const caller = { account, rank: 0, tokens: 1, isCounted: false }
    const result = await this.slots.acquire({ ...demand, caller }, AbortSignal.timeout(1_000))
    if (result.granted) {
      result.slot.release(outcome)
      return true
    }
    return result.retryAfter
  }

  close (): void {
    this.slots.close()
    this.limits.close()
    this.membership.close()
  }
}

describe('AccountLimits', () => {
  let network: LoopbackNetwork
  let members: TestMember[] = []
  let transports: LoopbackTransport[] = []

  async function start (count: number, accounts: readonly Account[] | null = [flooding, moderate]): Promise<void> {
    network = new LoopbackNetwork()
    const startedAt = Date.now() - 60_000
    transports = Array.from({ length: count }, (_, index) => network.join(`10.0.0.${index + 1}`))
    members = transports.map(transport => new TestMember(transport, startedAt))
    members.forEach(({ membership }) => { membership.setState(MemberState.Ready) })
    await settle(count)
    members.forEach(member => { member.configure(accounts) })
    // Processes that have just started assume that requests were sent before.
    await sleep(options.windowMilliseconds)
  }

  async function settle (count: number): Promise<void> {
    while (!members.every(({ membership }) => membership.ready().length === count)) {
      await sleep(10)
    }
  }

  function ownerOf (): TestMember {
    const [address] = members[0]?.slots.owners.owners ?? []
    const owner = members.find(({ transport }) => transport.address === address)
    assert.ok(owner !== undefined)
    return owner
  }

  function removeOwner (): void {
    const owner = ownerOf()
    members = members.filter(member => member !== owner)
    network.isolate(owner.transport.address)
    owner.close()
  }

  /** Sends requests of an account in turn to all members; returns the times at which slots were granted. */
  async function send (account: string, perSecond: number, milliseconds: number): Promise<number[]> {
    const granted: number[] = []
    const calls: Array<Promise<void>> = []
    const startedAt = Date.now()
    for (let index = 0; Date.now() - startedAt < milliseconds; index += 1) {
      const member = members[index % members.length]
      calls.push((async () => {
        if (await member?.request(account) === true) {
          granted.push(Date.now())
        }
      })())
      await sleep(Math.max(0, startedAt + (index + 1) * 1_000 / perSecond - Date.now()))
    }
    await Promise.all(calls)
    return granted.sort((left, right) => left - right)
  }

  function most (times: readonly number[]): number {
    return Math.max(0, ...times.map(at => times.filter(other => other >= at && other < at + options.windowMilliseconds).length))
  }

  afterEach(() => {
    members.forEach(member => { member.close() })
    members = []
  })

  it('grants an account its allowance over all holders, and refuses the others nothing', async () => {
    await start(3)
    const [floods, others] = await Promise.all([send('flooding', 47, 4_500), send('moderate', 18, 4_500)])
    assert.ok(most(floods) <= allowance + 1, `${most(floods)} granted in a window`)
    assert.ok(floods.length >= 2 * allowance, `${floods.length} granted in 4.5 s`)
    assert.ok(others.length >= 18 * 4.5 - 2, `${others.length} of the other account granted`)
    const text = await ownerOf().metrics.registry.metrics()
    assert.match(text, /arbutus_gateway_allowance_refusals_total\{account="flooding"\} \d\d/)
    assert.match(text, /arbutus_gateway_account_allowance\{account="flooding",kind="limit"\} 30/)
    assert.doesNotMatch(text, /secret/)
  })

  it('tells when there is room', async () => {
    await start(2)
    const first = await members[0]?.request('flooding')
    assert.equal(first, true)
    await Promise.all(Array.from({ length: allowance - 1 }, async () => await members[1]?.request('flooding')))
    const retryAfter = await members[1]?.request('flooding')
    assert.ok(typeof retryAfter === 'number' && retryAfter > 1_500 && retryAfter <= 2_100, `${retryAfter}`)
    const until = performance.now() + retryAfter + 20
    while (performance.now() < until) {
      await sleep(5)
    }
    assert.equal(await members[1]?.request('flooding'), true)
  })

  it('counts no request whose slot was given back unused, was already counted, or names no account', async () => {
    await start(2)
    for (let index = 0; index < 2 * allowance; index += 1) {
      assert.equal(await members[index % 2]?.request('flooding', SlotOutcome.NotRun), true)
      assert.equal(await members[index % 2]?.request(''), true)
    }
    assert.equal(ownerOf().limits.describe('flooding').used, 0)
  })

  it('keeps the bound when the owner is lost, and refuses nothing to an account below its allowance', async () => {
    await start(12)
    const removed = sleep(1_200).then(removeOwner)
    const [floods, others] = await Promise.all([send('flooding', 47, 5_000), send('moderate', 15, 5_000), removed])
    assert.ok(most(floods) <= bound, `${most(floods)} granted in a window, ${bound} allowed`)
    // Requests that were on their way to the lost owner may be lost with their holder.
    assert.ok(others.length >= 15 * 5 - 4, `${others.length} of the other account granted`)
  })

  it('keeps the bound when the owner is lost and another process is started at its address at once', async () => {
    await start(12)
    const replaced = sleep(1_200).then(async () => {
      const { transport: { address } } = ownerOf()
      removeOwner()
      await sleep(400)
      network.reconnect(address)
      const member = new TestMember(network.join(address), Date.now())
      members.push(member)
      member.membership.setState(MemberState.Ready)
      member.configure([flooding, moderate])
    })
    const [floods] = await Promise.all([send('flooding', 47, 5_000), replaced])
    assert.ok(most(floods) <= bound, `${most(floods)} granted in a window, ${bound} allowed`)
  })

  it('keeps the bound while 30% of datagrams are lost', async () => {
    await start(3)
    network.loss = 0.3
    const floods = await send('flooding', 47, 4_500)
    assert.ok(most(floods) <= bound, `${most(floods)} granted in a window, ${bound} allowed`)
  })

  it('sends datagrams of at most 1,200 bytes, also with 1,000 accounts', async () => {
    const accounts = Array.from({ length: 1_000 }, (_, index): Account => ({ ...flooding, name: `account-with-a-name-of-some-length-${index}` }))
    await start(3, accounts)
    await Promise.all(accounts.map(async ({ name }, index) => await members[index % 3]?.request(name)))
    removeOwner()
    await settle(2)
    await sleep(700)
    assert.ok(network.largestMessageBytes <= 1_200, `${network.largestMessageBytes} bytes`)
    const [owner] = members.filter(({ transport }) => transport.address === members[0]?.slots.owners.owners[0])
    const known = accounts.filter(({ name }) => owner !== undefined && owner.limits.describe(name).used > 0).length
    assert.ok(known >= 600, `${known} of the accounts of holders that are left are known to the new owner`)
  })

  it('sends nothing where there are no accounts', async () => {
    await start(3, null)
    const types: Array<PeerMessage['type']> = []
    transports.forEach(transport => { transport.onMessage(message => types.push(message.type)) })
    await send('', 50, 500)
    removeOwner()
    await settle(2)
    await sleep(500)
    assert.equal(types.some(type => allowanceTypes.has(type)), false)
  })

  it('ignores malformed messages', async () => {
    await start(2)
    const owner = ownerOf()
    const [other] = members.filter(member => member !== owner)
    const reports: unknown[] = [null, 7, {}, { entries: [] }, { at: 1, incarnation: 1, entries: [['flooding']] }, { at: 1, incarnation: 1, entries: [['', 0, 1, 1]] }, { owners: ['x'], entries: [['flooding', 5, 1, 9]] }, { at: 1, incarnation: 1, entries: [['flooding', 0, -1, NaN]] }]
    for (const report of reports) {
      for (const type of allowanceTypes) {
        other?.transport.send(owner.transport.address, { type, report, question: 'x', at: 'y' } as unknown as PeerMessage)
      }
    }
    await sleep(50)
    assert.equal(owner.limits.describe('flooding').used, 0)
    assert.equal(await other?.request('flooding'), true)
  })

  it('keeps its counts when the wall clock is set, and counts the time for which its process and its clock were stopped', async () => {
    let [passed, set] = [0, 0]
    const addresses = ['10.0.0.1', '10.0.0.2']
    const [owner] = ownersOf('s', addresses.map(id => ({ id })), 1)
    const monotonic = (): number => performance.timeOrigin + performance.now()
    network = new LoopbackNetwork()
    members = [...addresses].sort(address => address === owner?.id ? -1 : 1).map(address => {
      return new TestMember(network.join(address), Date.now() - 60_000, new SteadyClock(() => monotonic() + (address === owner?.id ? 0 : passed), () => Date.now() + passed + set))
    })
    members.forEach(({ membership }) => { membership.setState(MemberState.Ready) })
    await settle(2)
    members.forEach(member => { member.configure([flooding, moderate]) })
    await sleep(options.windowMilliseconds)
    const [stopped, running] = members
    assert.ok(stopped !== undefined && running !== undefined)
    await Promise.all(Array.from({ length: 20 }, async () => await running.request('flooding')))
    await sleep(400)
    set = 3_600_000
    assert.equal(await running.request('flooding'), true)
    await sleep(100)
    assert.equal(stopped.limits.describe('flooding').used, 21, 'after the wall clock was set forward')
    set = -3_600_000
    assert.equal(stopped.limits.describe('flooding').used, 21, 'after the wall clock was set back')
    // Time passes, by all clocks but the one of the process that is stopped.
    passed = options.windowMilliseconds + 1_000
    await running.request('moderate')
    await sleep(100)
    assert.equal(stopped.limits.describe('flooding').used, 0, 'after the process was stopped')
  })
})
