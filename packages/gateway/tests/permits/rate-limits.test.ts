/** Tests that the limits of targets reach whoever grants slots on them, over an in-memory network. */
import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { CrashQuarantine, SlotOutcome, VersionHistory } from '@arbutusloft/policy'
import type { RateLimitReport } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { Membership, MemberState, PeerMessageType, sleep, SlotClient, TargetFreshness, TargetRegistry, TargetState } from '../../src/index.js'
import type { ObservedRateLimitChange, PeerMessage, Slot, SlotDemand, Target } from '../../src/index.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import type { LoopbackTransport } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const demand: SlotDemand = { service: 's', workClass: WorkClass.Online, prefix: [], digest: '', excluded: [], continues: null, patience: 20, spent: 0, latestReturn: 500, due: 0, ran: 0, sinceStart: 0 }
const target: Target = { id: 'one', service: 's', address: '1:1', zone: 'a', slots: 100, state: TargetState.Ready, born: 1_000, softwareVersion: 'v1' }
const attempts = 20

class TestMember {
  readonly targets = new TargetRegistry()
  readonly membership: Membership
  readonly slots: SlotClient
  readonly changes: ObservedRateLimitChange[] = []

  constructor (readonly transport: LoopbackTransport, seed: string) {
    this.membership = new Membership(transport, { zone: 'a', incarnation: 1, capacity: 1, seeds: [seed] }, createTestLogger())
    this.slots = new SlotClient(this.membership, transport, this.targets, new TargetFreshness(), new CrashQuarantine(), new VersionHistory())
    this.slots.onRateLimitChange(change => { this.changes.push(change) })
    this.targets.replace([target])
  }

  get isOwner (): boolean {
    return this.slots.serviceLoad('s') !== null
  }

  async acquire (): Promise<Slot | null> {
    const result = await this.slots.acquire(demand, AbortSignal.timeout(400))
    return result.granted ? result.slot : null
  }

  /** Asks for many slots at once; returns those that are granted, released. */
  async acquireMany (): Promise<readonly Slot[]> {
    const slots = await Promise.all(Array.from({ length: attempts }, async () => await this.acquire()))
    const granted = slots.filter(slot => slot !== null)
    granted.forEach(slot => { slot.release(SlotOutcome.Finished) })
    return granted
  }

  close (): void {
    this.slots.close()
    this.membership.close()
  }
}

describe('the rate limit of a target', () => {
  let members: TestMember[] = []
  let network = new LoopbackNetwork()

  async function start (count: number): Promise<void> {
    network = new LoopbackNetwork()
    members = Array.from({ length: count }, (_, index) => new TestMember(network.join(`10.0.0.${index + 1}`), '10.0.0.1'))
    members.forEach(({ membership }) => { membership.setState(MemberState.Ready) })
    while (!members.every(({ membership }) => membership.ready().length === count)) {
      await sleep(10)
    }
    await Promise.all(members.map(async member => await member.acquireMany()))
  }

  afterEach(() => {
    members.forEach(member => { member.close() })
    members = []
  })

  function ownerAndHolders (): { readonly owner: TestMember, readonly holders: readonly TestMember[] } {
    const owner = members.find(({ isOwner }) => isOwner)
    assert.ok(owner !== undefined)
    return { owner, holders: members.filter(member => member !== owner) }
  }

  function send (from: TestMember, to: TestMember, message: PeerMessage): void {
    from.transport.send(to.transport.address, message)
  }

  it('binds all holders once one of them has heard it, and none once one has heard that it is over', async () => {
    await start(3)
    const { owner, holders: [first, second] } = ownerAndHolders()
    const slot = await first?.acquire()
    slot?.recordRateLimit(1, Date.now())
    await sleep(20)
    assert.equal((await second?.acquireMany())?.length, 0)
    assert.equal((await owner.acquireMany()).length, 0)
    await sleep(1_100)
    const [next] = await second?.acquireMany() ?? []
    assert.notEqual(next, undefined)
    next?.recordRateLimit(null, Date.now())
    await sleep(20)
    assert.equal((await first?.acquireMany())?.length, attempts)
    assert.deepEqual(owner.changes.map(({ previous, current, holder }) => [previous, current, holder]), [
      [null, 1, first?.transport.address], [1, null, second?.transport.address]
    ])
  })

  it('is not ended by an answer whose request was sent before it was heard', async () => {
    await start(2)
    const { owner, holders: [holder] } = ownerAndHolders()
    const [early, late] = [await holder?.acquire(), await holder?.acquire()]
    const sentAt = Date.now()
    await sleep(10)
    late?.recordRateLimit(1, Date.now())
    early?.recordRateLimit(null, sentAt)
    await sleep(20)
    assert.equal((await owner.acquireMany()).length, 0)
  })

  it('is known to the next owner, also if it was none of the successors when the limit was heard', async () => {
    await start(6)
    const { holders } = ownerAndHolders()
    const unrelated = holders.filter(({ slots }) => !slots.isNearOwner(['s']))
    const [holder, ...rest] = unrelated
    assert.ok(holder !== undefined && rest.length > 0)
    const slot = await holder.acquire()
    slot?.recordRateLimit(1, Date.now())
    await sleep(20)
    const former = members.filter(member => !unrelated.includes(member))
    former.forEach(({ membership, transport }) => {
      membership.setState(MemberState.Draining)
      network.isolate(transport.address)
    })
    while (!unrelated.every(({ membership }) => membership.ready().length === unrelated.length)) {
      await sleep(10)
    }
    const granted = (await Promise.all(unrelated.map(async member => await member.acquireMany()))).flat()
    assert.ok(granted.length <= 2, `${granted.length} granted`)
  })

  it('counts requests that another owner granted, as their answers tell', async () => {
    await start(2)
    const { owner, holders: [holder] } = ownerAndHolders()
    assert.ok(holder !== undefined)
    const report: RateLimitReport = { service: 's', target: 'one', born: 1_000, requestsPerSecond: 2, sentAgo: 0, heardAgo: 0 }
    for (let answer = 0; answer < 8; answer += 1) {
      send(holder, owner, { type: PeerMessageType.RateLimits, reports: [report], permit: `unknown-${answer}` })
    }
    await sleep(1_200)
    assert.equal((await owner.acquireMany()).length, 0)
  })

  it('is kept by all owners together: each tells the others of every request that it grants within a limit, and of no other', async () => {
    await start(4)
    const { owner, holders } = ownerAndHolders()
    const successors = holders.filter(({ slots }) => slots.isNearOwner(['s'])).map(({ transport }) => transport.address)
    const told: string[] = []
    const send = owner.transport.send.bind(owner.transport)
    owner.transport.send = (address, message) => {
      if (message.type === PeerMessageType.RateLimits && message.permit !== undefined) {
        told.push(address)
      }
      send(address, message)
    }
    const [holder] = holders
    const slot = await holder?.acquire()
    assert.deepEqual(told, [])
    slot?.recordRateLimit(100, Date.now())
    await sleep(100)
    const granted = await holder?.acquireMany() ?? []
    assert.ok(granted.length > 0)
    assert.deepEqual(told.sort(), granted.flatMap(() => successors).sort())
  })

  /** Makes a member one of a build before the limits: it neither hears of them nor names them in grants. */
  function age ({ transport }: TestMember): void {
    const [send, receive] = [transport.send.bind(transport), transport.receive.bind(transport)]
    transport.send = (address, message) => {
      if (message.type === PeerMessageType.SlotGrant) {
        const { rateLimit: _rateLimit, ...rest } = message
        send(address, rest)
      } else if (message.type !== PeerMessageType.RateLimits) {
        send(address, message)
      }
    }
    transport.receive = (message, sender) => {
      if (message.type !== PeerMessageType.RateLimits) {
        receive(message, sender)
      }
    }
  }

  /** Uses slots for a time, one after the other; all answers of the first target name a limit. Returns the slots used of each target. */
  async function use (holder: TestMember, milliseconds: number, limit: number): Promise<ReadonlyMap<string, number>> {
    const used = new Map<string, number>()
    for (const until = Date.now() + milliseconds; Date.now() < until;) {
      const slot = await holder.acquire()
      const id = slot?.target.id ?? 'none'
      used.set(id, (used.get(id) ?? 0) + 1)
      slot?.recordRateLimit(id === 'one' ? limit : null, Date.now())
      slot?.release(SlotOutcome.Finished)
      await sleep(5)
    }
    return used
  }

  it('is kept in its share by a holder whose owner knows none, and other targets take the load', async () => {
    await start(5)
    const { holders: [holder] } = ownerAndHolders()
    assert.ok(holder !== undefined)
    members.filter(member => member !== holder).forEach(age)
    members.forEach(({ targets }) => { targets.replace([target, { ...target, id: 'two', address: '2:2', zone: 'b' }]) })
    await use(holder, 600, 5)
    const used = await use(holder, 2_500, 5)
    assert.ok((used.get('one') ?? 0) >= 1 && (used.get('one') ?? 0) <= 3, `${used.get('one')} used`)
    assert.ok((used.get('two') ?? 0) > 50, `${used.get('two')} used`)
    assert.equal(used.get('none'), undefined)
  })

  it('is kept in its share by a holder of batch work whose owner has no other target, with few messages', async () => {
    await start(5)
    const { holders: [holder] } = ownerAndHolders()
    assert.ok(holder !== undefined)
    members.filter(member => member !== holder).forEach(age)
    await use(holder, 600, 5)
    let requests = 0
    const send = holder.transport.send.bind(holder.transport)
    holder.transport.send = (address, message) => {
      requests += message.type === PeerMessageType.SlotRequest ? 1 : 0
      send(address, message)
    }
    const used: number[] = []
    const stop = AbortSignal.timeout(3_000)
    while (!stop.aborted) {
      const result = await holder.slots.acquire({ ...demand, workClass: WorkClass.Batch, due: Date.now() + 60_000 }, stop)
      if (result.granted) {
        used.push(Date.now())
        result.slot.recordRateLimit(5, Date.now())
        result.slot.release(SlotOutcome.Finished)
      }
    }
    assert.ok(used.length >= 2 && used.length <= 4, `${used.length} used`)
    assert.ok(requests <= 15, `${requests} requests`)
  })

  it('does not hold a holder back whose owner has heard from another one that it is over', async () => {
    await start(3)
    const { holders: [first, second] } = ownerAndHolders()
    const [early, late] = [await first?.acquire(), await second?.acquire()]
    early?.recordRateLimit(1, Date.now())
    await sleep(50)
    late?.recordRateLimit(null, Date.now())
    await sleep(600)
    assert.equal((await first?.acquireMany())?.length, attempts)
    assert.equal((await first?.acquireMany())?.length, attempts)
  })

  it('is told by an answer only if the owner did not know it when it granted the slot', async () => {
    await start(2)
    const { owner, holders: [holder] } = ownerAndHolders()
    assert.ok(holder !== undefined)
    let told = 0
    const send = holder.transport.send.bind(holder.transport)
    holder.transport.send = (address, message) => {
      told += message.type === PeerMessageType.RateLimits ? 1 : 0
      send(address, message)
    }
    const first = await holder.acquire()
    first?.recordRateLimit(100, Date.now())
    await sleep(100)
    const second = await holder.acquire()
    second?.recordRateLimit(100, Date.now())
    assert.equal(told, 1)
    second?.recordRateLimit(50, Date.now())
    assert.equal(told, 2)
    await sleep(20)
    assert.deepEqual(owner.changes.map(({ current }) => current), [100, 50])
  })

  it('is not taken from messages that are no reports', async () => {
    await start(2)
    const { owner, holders: [holder] } = ownerAndHolders()
    assert.ok(holder !== undefined)
    const report = { service: 's', target: 'one', born: 1_000, requestsPerSecond: 1, sentAgo: 0, heardAgo: 0 }
    const odd: readonly unknown[] = [null, 7, [null], [{}], ['one'], [{ ...report, requestsPerSecond: -1 }], [{ ...report, requestsPerSecond: Infinity }], [{ ...report, heardAgo: 'x' }], [{ ...report, born: undefined }]]
    for (const reports of odd) {
      send(holder, owner, { type: PeerMessageType.RateLimits, reports } as unknown as PeerMessage)
    }
    await sleep(20)
    assert.equal((await owner.acquireMany()).length, attempts)
    assert.deepEqual(owner.changes, [])
  })
})
