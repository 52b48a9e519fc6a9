/** Tests that owners learn the speeds of targets from releases, over an in-memory network, and what is left when the owner is lost. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { CrashQuarantine, SlotOutcome, VersionHistory } from '@arbutusloft/policy'
import type { AnswerTiming } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { Membership, MemberState, PeerMessageType, sleep, SlotClient, TargetFreshness, TargetRegistry, TargetState } from '../../src/index.js'
import type { PeerMessage, Slot, SlotDemand, Target } from '../../src/index.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import type { LoopbackTransport } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const demand: SlotDemand = { service: 's', workClass: WorkClass.Online, prefix: [], digest: '', excluded: [], continues: null, patience: 700, spent: 0, latestReturn: 500, due: 0, ran: 0, sinceStart: 0 }
const speeds = new Map([['slow', 0.7], ['other-slow', 0.7], ['fast', 1.7]])
const ids = [...speeds.keys()]
const targets: readonly Target[] = ids.map((id, index) => ({ id, service: 's', address: `${index}:1`, zone: 'a', slots: 8, state: TargetState.Ready, born: 1_000, softwareVersion: 'v1' }))

interface TestMember {
  readonly transport: LoopbackTransport
  readonly membership: Membership
  readonly slots: SlotClient
}

describe('SlotClient on targets of unequal speed', () => {
  let network: LoopbackNetwork
  let members: readonly TestMember[] = []

  beforeEach(async () => {
    network = new LoopbackNetwork()
    members = ['10.0.0.1', '10.0.0.2', '10.0.0.3'].map(address => {
      const transport = network.join(address)
      const membership = new Membership(transport, { zone: 'a', incarnation: 1, capacity: 1, seeds: ['10.0.0.1'] }, createTestLogger())
      const registry = new TargetRegistry()
      const slots = new SlotClient(membership, transport, registry, new TargetFreshness(), new CrashQuarantine(), new VersionHistory())
      registry.replace(targets)
      return { transport, membership, slots }
    })
    members.forEach(({ membership }) => { membership.setState(MemberState.Ready) })
    while (!members.every(({ membership }) => membership.ready().length === members.length)) {
      await sleep(10)
    }
  })

  afterEach(() => {
    for (const { slots, membership } of members) {
      slots.close()
      membership.close()
    }
  })

  async function acquire ({ slots }: TestMember, excluded: readonly string[] = []): Promise<Slot> {
    const result = await slots.acquire({ ...demand, excluded }, AbortSignal.timeout(3_000))
    assert.ok(result.granted)
    return result.slot
  }

  function release (slot: Slot): void {
    const speed = speeds.get(slot.target.id) ?? 1
    slot.release(SlotOutcome.Finished, { isSound: false, place: 0, timing: { firstEvent: 25 / speed, betweenEvents: 24 / speed } })
  }

  /** Returns the member that owns the slots, after a request of each. */
  async function findOwner (): Promise<TestMember> {
    for (const member of members) {
      (await acquire(member)).release(SlotOutcome.NotRun)
    }
    const owner = members.find(({ slots }) => slots.serviceLoad('s') !== null)
    assert.ok(owner !== undefined)
    return owner
  }

  /** Runs requests on each target in turn, for longer than the second in which answers of new targets do not count. */
  async function learn (holder: TestMember): Promise<void> {
    for (let round = 0; round < 28; round += 1) {
      await sleep(60)
      for (const id of ids) {
        release(await acquire(holder, ids.filter(other => other !== id)))
      }
    }
    await sleep(300)
  }

  async function chosenBy (holder: TestMember, count: number): Promise<readonly string[]> {
    const slots: Slot[] = []
    for (let request = 0; request < count; request += 1) {
      slots.push(await acquire(holder))
    }
    slots.forEach(release)
    return slots.map(({ target }) => target.id)
  }

  it('learns them from holders, sends requests to the fast target, and shows expected and measured times', async () => {
    const owner = await findOwner()
    const holder = members.find(member => member !== owner) as TestMember
    const changes: boolean[] = []
    members.forEach(({ slots }) => { slots.granted.onSpeedsChange(({ areUnequal }) => { changes.push(areUnequal) }) })
    await learn(holder)
    assert.deepEqual(await chosenBy(holder, 5), ['fast', 'fast', 'fast', 'fast', 'fast'])
    await sleep(50)
    assert.deepEqual(changes, [true])
    const times = owner.slots.granted.expectedTimes(2)
    assert.equal(times.length, 2)
    assert.ok(times.every(({ target, expected, measured }) => target !== 'fast' && expected > 25 && Math.abs(measured - 25 / 0.7) < 0.01), JSON.stringify(times))
  })

  it('chooses by slots after the loss of the owner, until the new one has learned them', async () => {
    const owner = await findOwner()
    const holder = members.find(member => member !== owner) as TestMember
    await learn(holder)
    owner.membership.close()
    owner.slots.close()
    network.isolate(owner.transport.address)
    assert.deepEqual([...await chosenBy(holder, 3)].sort(), [...ids].sort())
    await learn(holder)
    assert.deepEqual(await chosenBy(holder, 4), ['fast', 'fast', 'fast', 'fast'])
  })

  it('ignores times that are malformed, and releases the slots (guards against messages of other builds)', async () => {
    const owner = await findOwner()
    const holder = members.find(member => member !== owner) as TestMember
    const send = holder.transport.send.bind(holder.transport)
    holder.transport.send = (address: string, message: PeerMessage): void => {
      const timing = { firstEvent: 'soon', betweenEvents: -1 } as unknown as AnswerTiming
      send(address, message.type === PeerMessageType.SlotRelease ? { ...message, timing } : message)
    }
    await learn(holder)
    assert.deepEqual([...await chosenBy(holder, 3)].sort(), [...ids].sort())
    await sleep(50)
    assert.equal(owner.slots.serviceLoad('s')?.online, 0)
  })
})
