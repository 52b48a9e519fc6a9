/** Tests what holders of slots do about targets that leave, over an in-memory network. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { CrashQuarantine, promptPartDigest, RefusalReason, SlotOutcome, TrialEnd, unknownWait, VersionHistory, WaitCause } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { Membership, MemberState, PeerMessageType, sleep, SlotClient, TargetFreshness, TargetRegistry, TargetState } from '../../src/index.js'
import type { AcquireResult, PeerMessage, PeerTransport, Slot, SlotDemand, Target } from '../../src/index.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const demand: SlotDemand = { service: 's', workClass: WorkClass.Online, prefix: [], digest: '', excluded: [], continues: null, patience: 700, spent: 0, latestReturn: 500, due: 0, ran: 0, sinceStart: 0 }
const target: Target = { id: 'one', service: 's', address: '1:1', zone: 'a', slots: 4, state: TargetState.Ready, born: 1_000, softwareVersion: 'v1' }

/** Counts the messages of each type, and drops those of one type. */
class FilteringTransport implements PeerTransport {
  readonly sent: PeerMessage[] = []
  dropped: PeerMessage['type'] | null = null
  /** Whether requests for slots lose the stream that they continue, as at an owner that does not know of it. */
  withoutContinued = false
  /** Whether answers to requests for slots leave out why they wait, as those of an earlier build do. */
  withoutWait = false
  readonly address: string

  constructor (private readonly inner: PeerTransport) {
    this.address = inner.address
  }

  send (address: string, message: PeerMessage): void {
    this.sent.push(message)
    if (message.type !== this.dropped) {
      this.inner.send(address, this.#stripped(message))
    }
  }

  onMessage (listener: (message: PeerMessage, sender: string) => void): void {
    this.inner.onMessage(listener)
  }

  #stripped (message: PeerMessage): PeerMessage {
    if (this.withoutContinued && message.type === PeerMessageType.SlotRequest) {
      return { ...message, request: { ...message.request, continues: null } }
    }
    return this.withoutWait && message.type === PeerMessageType.SlotQueued ? { type: message.type, permit: message.permit } : message
  }

  count (type: PeerMessage['type']): number {
    return this.sent.filter(message => message.type === type).length
  }
}

interface TestMember {
  readonly transport: FilteringTransport
  readonly membership: Membership
  readonly targets: TargetRegistry
  readonly versions: VersionHistory
  readonly quarantine: CrashQuarantine
  readonly freshness: TargetFreshness
  readonly slots: SlotClient
}

describe('SlotClient', () => {
  let network: LoopbackNetwork
  let members: TestMember[] = []
  let owner: TestMember
  let holder: TestMember

  beforeEach(async () => {
    network = new LoopbackNetwork()
    members = ['10.0.0.1', '10.0.0.2'].map(address => {
      const transport = new FilteringTransport(network.join(address))
      const membership = new Membership(transport, { zone: 'a', incarnation: 1, capacity: 1, seeds: ['10.0.0.1'] }, createTestLogger())
      const targets = new TargetRegistry()
      const versions = new VersionHistory()
      const quarantine = new CrashQuarantine()
      const freshness = new TargetFreshness()
      return { transport, membership, targets, versions, quarantine, freshness, slots: new SlotClient(membership, transport, targets, freshness, quarantine, versions) }
    })
    members.forEach(({ membership }) => { membership.setState(MemberState.Ready) })
    while (!members.every(({ membership }) => membership.ready().length === 2)) {
      await sleep(10)
    }
    // Any request makes its receiver the owner that keeps state.
    members.forEach(({ targets }) => { targets.replace([target, { ...target, id: 'two', address: '2:2' }]) })
    await Promise.all(members.map(async ({ slots }) => { releaseOf(await slots.acquire(demand, AbortSignal.timeout(1_000))) }))
    const found = members.find(({ slots }) => slots.serviceLoad('s') !== null)
    const other = members.find(member => member !== found)
    assert.ok(found !== undefined && other !== undefined)
    owner = found
    holder = other
    members.forEach(({ targets }) => { targets.replace([target]) })
  })

  afterEach(() => {
    for (const { slots, membership } of members) {
      slots.close()
      membership.close()
    }
  })

  function releaseOf (result: AcquireResult): void {
    if (result.granted) {
      result.slot.release(SlotOutcome.Finished)
    }
  }

  async function acquire (member: TestMember): Promise<Slot | null> {
    const result = await member.slots.acquire(demand, AbortSignal.timeout(300))
    return result.granted ? result.slot : null
  }

  it('tells the owner once that a target leaves, which then grants it to nobody', async () => {
    const slots = [await acquire(holder), await acquire(holder)]
    assert.deepEqual(slots.map(slot => slot?.target.id), ['one', 'one'])
    slots.forEach(slot => { slot?.markLeaving() })
    slots.forEach(slot => { slot?.release(SlotOutcome.Finished) })
    await sleep(20)
    assert.equal(await acquire(owner), null)
    assert.equal(holder.transport.count(PeerMessageType.TargetLeaving), 1)
  })

  it('remembers which parts its own requests were answered with, for the time at which it owns the slots', async () => {
    const outcomes = [['crashed', SlotOutcome.Crashed], ['failed', SlotOutcome.Failed], ['answered', SlotOutcome.Finished]] as const
    for (const [part, outcome] of outcomes) {
      const result = await holder.slots.acquire({ ...demand, prefix: [part] }, AbortSignal.timeout(1_000))
      assert.ok(result.granted, part)
      result.slot.release(outcome)
    }
    assert.deepEqual(holder.quarantine.answered().map(({ digest }) => digest), [promptPartDigest('answered')])
  })

  it('runs a further request on its slot only while its target could be granted, names no rate limit, and the slot is held', async () => {
    const lost: Array<(slot: Slot) => void> = [
      slot => { slot.markLeaving() },
      slot => { slot.release(SlotOutcome.Finished) },
      slot => { slot.recordRateLimit(2, Date.now()) },
      () => { holder.targets.replace([]) },
      () => { holder.targets.replace([{ ...target, state: TargetState.Draining }]) },
      () => { holder.targets.replace([{ ...target, born: target.born + 1 }]) },
      () => { holder.freshness.follow({ source: { ageMilliseconds: 1_000, refresh: async () => await new Promise(() => {}) }, maximumAgeMilliseconds: 100, logger: createTestLogger() }) }
    ]
    for (const [index, lose] of lost.entries()) {
      const current = { ...target, born: target.born + 10 * index }
      members.forEach(({ targets }) => { targets.replace([current]) })
      const slot = await acquire(holder) ?? assert.fail(`no slot ${index}`)
      assert.ok(holder.slots.canRunAgain(slot), String(index))
      lose(slot)
      assert.ok(!holder.slots.canRunAgain(slot), String(index))
      slot.release(SlotOutcome.Finished)
    }
  })

  it('never uses a target that it heard is leaving, also while the owner does not know', async () => {
    holder.transport.dropped = PeerMessageType.TargetLeaving
    const slot = await acquire(holder)
    slot?.markLeaving()
    slot?.release(SlotOutcome.Finished)
    assert.equal(await acquire(holder), null)
    assert.equal(holder.slots.held, 0)
    const others = await acquire(owner)
    assert.equal(others?.target.id, 'one')
    others.release(SlotOutcome.Finished)
  })

  it('gives a slot on a leaving target back and gets one on another target', async () => {
    const slot = await acquire(holder)
    holder.transport.dropped = PeerMessageType.TargetLeaving
    slot?.markLeaving()
    slot?.release(SlotOutcome.Finished)
    holder.transport.dropped = null
    owner.targets.replace([target, { ...target, id: 'two', address: '2:2', zone: 'b' }])
    assert.equal((await acquire(holder))?.target.id, 'two')
    await sleep(20)
    assert.equal((await acquire(owner))?.target.id, 'two')
  })

  it('tells the owner that a request has not run whose slot it gives back, in a way that earlier builds take for stopped', async () => {
    const slot = await acquire(holder)
    holder.transport.dropped = PeerMessageType.TargetLeaving
    slot?.markLeaving()
    slot?.release(SlotOutcome.Finished)
    const before = holder.transport.count(PeerMessageType.SlotRelease)
    assert.equal(await acquire(holder), null)
    const releases = holder.transport.sent.flatMap(message => message.type === PeerMessageType.SlotRelease ? [message] : []).slice(before)
    assert.ok(releases.length > 0 && releases.every(({ outcome, isNotRun }) => outcome === SlotOutcome.Stopped && isNotRun === true), JSON.stringify(releases))
  })

  it('tells the owner that a request has not run which was withdrawn while its grant was in transit', async () => {
    const caller = new AbortController()
    const result = holder.slots.acquire({ ...demand, prefix: ['withdrawn'] }, caller.signal)
    holder.transport.dropped = PeerMessageType.SlotWithdrawal
    caller.abort()
    assert.equal((await result).granted, false)
    await sleep(20)
    const [release] = holder.transport.sent.flatMap(message => message.type === PeerMessageType.SlotRelease ? [message] : []).slice(-1)
    assert.ok(release?.outcome === SlotOutcome.Stopped && release.isNotRun === true, JSON.stringify(release))
  })

  it('counts the trial of a part as nothing whose slot is given back', async () => {
    const ends: string[] = []
    owner.quarantine.onTrialEnded(({ end }) => { ends.push(end) })
    const slot = await acquire(holder)
    holder.transport.dropped = PeerMessageType.TargetLeaving
    slot?.markLeaving()
    slot?.release(SlotOutcome.Finished)
    for (const crashed of ['t1', 't2', 't3']) {
      owner.quarantine.onCrashed(crashed, { target: crashed, parts: ['part'], digest: '' }, Date.now() - 2_000)
    }
    await holder.slots.acquire({ ...demand, prefix: ['part'] }, AbortSignal.timeout(300))
    assert.deepEqual(ends, [TrialEnd.NotRun])
    const { retryAfter } = owner.quarantine.decide({ parts: ['part'], digest: '' }, Date.now())
    assert.ok(retryAfter <= 1_000, `${retryAfter} ms`)
    assert.deepEqual(owner.quarantine.entries(Date.now()).map(({ periods }) => periods), [1])
  })

  it('gives a slot at another software version back than the one that began its stream, as an owner of an earlier build may grant it', async () => {
    owner.targets.replace([{ ...target, softwareVersion: 'v2' }])
    holder.transport.withoutContinued = true
    const continues = { softwareVersion: 'v1', target: 'other', born: 1 }
    const result = await holder.slots.acquire({ ...demand, continues }, AbortSignal.timeout(300))
    assert.ok(!result.granted)
    assert.equal(holder.slots.held, 0)
    const slot = await acquire(holder)
    assert.equal(slot?.target.softwareVersion, 'v2')
  })

  it('learns from grants that its service has targets of several software versions', async () => {
    owner.targets.replace([target, { ...target, id: 'two', softwareVersion: 'v2' }])
    owner.versions.observe('s', new Set(['v1', 'v2']), Date.now())
    assert.equal(holder.versions.isMixed('s', Date.now()), false)
    releaseOf(await holder.slots.acquire(demand, AbortSignal.timeout(300)))
    assert.ok(holder.versions.isMixed('s', Date.now()))
  })

  it('tells why a request waited that its holder withdraws, also where it owns the slots itself', async () => {
    const taken = await Promise.all(Array.from({ length: target.slots }, async () => await acquire(owner)))
    assert.ok(taken.every(slot => slot !== null))
    for (const member of [holder, owner]) {
      // New owners grant no batch work for 400 ms.
      const result = await member.slots.acquire({ ...demand, workClass: WorkClass.Batch, digest: 'other' }, AbortSignal.timeout(1_500))
      assert.deepEqual(result, { granted: false, reason: RefusalReason.Busy, retryAfter: 0, wait: { cause: WaitCause.Full, until: 0 } })
    }
    owner.quarantine.merge({ digest: 'held-back', version: 3, periods: 2, remaining: 60_000 }, Date.now())
    for (const member of [holder, owner]) {
      const result = await member.slots.acquire({ ...demand, workClass: WorkClass.Batch, digest: 'held-back' }, AbortSignal.timeout(300))
      assert.ok(!result.granted && result.wait?.cause === WaitCause.HeldBack && result.wait.until > 7_000, JSON.stringify(result))
    }
  })

  it('tells a request that its holder withdrew from one that the owner rejected', async () => {
    owner.targets.replace([{ ...target, softwareVersion: 'v2' }])
    for (const member of [holder, owner]) {
      const rejected = await member.slots.acquire({ ...demand, workClass: WorkClass.Batch, continues: { softwareVersion: 'v1', target: 'other', born: 1 } }, AbortSignal.timeout(300))
      assert.ok(!rejected.granted && rejected.reason === RefusalReason.VersionGone, JSON.stringify(rejected))
      assert.equal(rejected.wait, undefined)
      const withdrawn = await member.slots.acquire(demand, AbortSignal.abort())
      assert.deepEqual(withdrawn, { granted: false, reason: RefusalReason.Busy, retryAfter: 0, wait: unknownWait })
    }
  })

  it('takes the cause for unknown that an owner of an earlier build leaves out', async () => {
    owner.transport.withoutWait = true
    const taken = await Promise.all(Array.from({ length: target.slots }, async () => await acquire(owner)))
    assert.ok(taken.every(slot => slot !== null))
    const result = await holder.slots.acquire({ ...demand, workClass: WorkClass.Batch }, AbortSignal.timeout(800))
    assert.deepEqual(result, { granted: false, reason: RefusalReason.Busy, retryAfter: 0, wait: unknownWait })
    assert.ok(owner.transport.count(PeerMessageType.SlotQueued) > 0)
  })

  it('uses a target that has started again under the id of one that left', async () => {
    (await acquire(holder))?.markLeaving()
    await sleep(20)
    assert.equal(await acquire(holder), null)
    owner.targets.replace([{ ...target, born: 2_000 }])
    const slot = await acquire(holder)
    assert.deepEqual([slot?.target.id, slot?.target.born], ['one', 2_000])
  })

  it('tells the other members that may grant slots when the list shows that a target drains', async () => {
    members.forEach(member => { member.transport.sent.length = 0 })
    holder.targets.replace([{ ...target, state: TargetState.Draining }])
    await sleep(20)
    assert.equal(await acquire(owner), null)
    assert.deepEqual(members.map(({ transport }) => transport.count(PeerMessageType.TargetLeaving)).reduce((sum, count) => sum + count), 1)
  })

  it('gets a slot for an item whose target the owner counts as taken since a release of its own was lost', async () => {
    members.forEach(({ targets }) => { targets.replace([{ ...target, slots: 1 }]) })
    const slot = await acquire(holder)
    holder.transport.dropped = PeerMessageType.SlotRelease
    slot?.release(SlotOutcome.Finished)
    holder.transport.dropped = null
    await sleep(1_000)
    const result = await holder.slots.acquire({ ...demand, workClass: WorkClass.Batch }, AbortSignal.timeout(4_000))
    assert.ok(result.granted)
    result.slot.release(SlotOutcome.Finished)
  })

  it('frees a slot whose release was lost for other holders, though it goes on with short requests', async () => {
    members.forEach(({ targets }) => { targets.replace([{ ...target, slots: 2 }]) })
    const slot = await acquire(holder)
    holder.transport.dropped = PeerMessageType.SlotRelease
    slot?.release(SlotOutcome.Finished)
    holder.transport.dropped = null
    for (let requests = 0; requests < 3; requests += 1) {
      await sleep(1_000)
      releaseOf(await holder.slots.acquire(demand, AbortSignal.timeout(300)))
    }
    await sleep(20)
    assert.equal(owner.slots.serviceLoad('s')?.online, 0)
  })

  it('gets the slot of its former incarnation for an item after it started again under the same address', async () => {
    members.forEach(({ targets }) => { targets.replace([{ ...target, slots: 1 }]) })
    assert.ok(await acquire(holder) !== null)
    holder.slots.close()
    holder.membership.close()
    const transport = new FilteringTransport(network.join(holder.transport.address))
    const membership = new Membership(transport, { zone: 'a', incarnation: 2, capacity: 1, seeds: ['10.0.0.1', '10.0.0.2'] }, createTestLogger())
    membership.setState(MemberState.Ready)
    const slots = new SlotClient(membership, transport, holder.targets, new TargetFreshness(), new CrashQuarantine(), new VersionHistory())
    members = [owner, { ...holder, transport, membership, slots }]
    while (membership.ready().length < 2) {
      await sleep(10)
    }
    const result = await slots.acquire({ ...demand, workClass: WorkClass.Batch }, AbortSignal.timeout(5_000))
    assert.ok(result.granted)
    assert.deepEqual(owner.slots.serviceLoad('s'), { online: 0, batch: 1, waiting: 0, slots: 1 })
    result.slot.release(SlotOutcome.Finished)
    await sleep(20)
    assert.equal(owner.slots.serviceLoad('s')?.batch, 0)
  })

  it('gets a slot for an item though the target came back with another birth while it held the slot', async () => {
    members.forEach(({ targets }) => { targets.replace([{ ...target, slots: 1 }]) })
    const slot = await acquire(holder)
    holder.transport.dropped = PeerMessageType.SlotRelease
    slot?.release(SlotOutcome.Crashed)
    holder.transport.dropped = null
    members.forEach(({ targets }) => { targets.replace([{ ...target, slots: 1, born: 2_000 }]) })
    await sleep(1_000)
    const result = await holder.slots.acquire({ ...demand, workClass: WorkClass.Batch }, AbortSignal.timeout(4_000))
    assert.ok(result.granted)
    result.slot.release(SlotOutcome.Finished)
  })
})
