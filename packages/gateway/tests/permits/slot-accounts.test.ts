/** Tests what holders and owners tell each other of client accounts, over an in-memory network, and what a new owner makes of it. */
import assert from 'node:assert/strict'
import { afterEach, describe, it, mock } from 'node:test'
import { AccountAllowances, CrashQuarantine, DecisionKind, GrantedUsage, LeavingTargets, OrderCause, SlotOutcome, VersionHistory } from '@arbutusloft/policy'
import type { HeldSlot, SlotCaller, SlotDecision, SlotRequest } from '@arbutusloft/policy'
import { WorkClass } from '@arbutusloft/protocol'
import { Membership, MemberState, PeerMessageType, sleep, SlotClient, SlotOwner, TargetFreshness, TargetRegistry, TargetState } from '../../src/index.js'
import type { PeerMessage, PeerTransport, SlotDemand, Target } from '../../src/index.js'
import { AccountCharging } from '../../src/accounts/account-charging.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const target: Target = { id: 'one', service: 's', address: '1:1', zone: 'a', slots: 2, state: TargetState.Ready, born: 1_000, softwareVersion: 'v1' }
const demand: SlotDemand = { service: 's', workClass: WorkClass.Online, prefix: [], digest: '', excluded: [], continues: null, patience: 100, spent: 0, latestReturn: 500, due: 0, ran: 0, sinceStart: 0 }
const reportMilliseconds = 1_500
const stepMilliseconds = 100

function callerOf (account: string, rank = 0): { readonly caller: SlotCaller } {
  return { caller: { account, rank, tokens: 7, isCounted: false } }
}

/** Keeps the messages that a member sends. */
class RecordingTransport implements PeerTransport {
  readonly sent: PeerMessage[] = []
  readonly address: string

  constructor (private readonly inner: PeerTransport) {
    this.address = inner.address
  }

  send (address: string, message: PeerMessage): void {
    this.sent.push(message)
    this.inner.send(address, message)
  }

  onMessage (listener: (message: PeerMessage, sender: string) => void): void {
    this.inner.onMessage(listener)
  }
}

interface TestMember {
  readonly transport: RecordingTransport
  readonly membership: Membership
  readonly slots: SlotClient
}

describe('members of a deployment with client accounts', () => {
  let members: TestMember[] = []

  afterEach(() => {
    for (const { slots, membership } of members) {
      slots.close()
      membership.close()
    }
  })

  /** Starts two members; returns the one that asks the other for slots. */
  async function startHolder (): Promise<TestMember> {
    const network = new LoopbackNetwork()
    members = ['10.0.0.1', '10.0.0.2'].map(address => {
      const transport = new RecordingTransport(network.join(address))
      const membership = new Membership(transport, { zone: 'a', incarnation: 1, capacity: 1, seeds: ['10.0.0.1'] }, createTestLogger())
      const targets = new TargetRegistry()
      targets.replace([target])
      return { transport, membership, slots: new SlotClient(membership, transport, targets, new TargetFreshness(), new CrashQuarantine(), new VersionHistory()) }
    })
    members.forEach(({ membership }) => { membership.setState(MemberState.Ready) })
    while (!members.every(({ membership }) => membership.ready().length === 2)) {
      await sleep(10)
    }
    for (const member of members) {
      const result = await member.slots.acquire(demand, AbortSignal.timeout(1_000))
      assert.ok(result.granted)
      result.slot.release(SlotOutcome.Finished)
      if (member.transport.sent.some(({ type }) => type === PeerMessageType.SlotRequest)) {
        return member
      }
    }
    throw new Error('no member asked the other for a slot; expected one of two to')
  }

  /** Returns the slots in the latest report of a holder that has any. */
  async function reportedSlots ({ transport }: TestMember, count: number): Promise<readonly HeldSlot[]> {
    for (const end = Date.now() + reportMilliseconds; Date.now() < end; await sleep(10)) {
      const report = transport.sent.findLast(message => message.type === PeerMessageType.SlotReport && message.held.length === count)
      if (report?.type === PeerMessageType.SlotReport) {
        return report.held
      }
    }
    throw new Error(`no report of ${count} slots within ${reportMilliseconds} ms`)
  }

  it('report account and tokens of the slots that they hold, and nothing more than before of slots without an account', async () => {
    const holder = await startHolder()
    await holder.slots.acquire({ ...demand, ...callerOf('large') }, AbortSignal.timeout(1_000))
    await holder.slots.acquire(demand, AbortSignal.timeout(1_000))
    const [first, second] = await reportedSlots(holder, 2)
    assert.deepEqual([first?.account, first?.tokens], ['large', 7])
    assert.deepEqual(Object.keys(second ?? {}), ['permit', 'target', 'workClass', 'due', 'ran'])
  })

  it('are told the place of a refused request of an account, and nothing more than before of one without', async () => {
    const holder = await startHolder()
    for (let slot = 0; slot < target.slots; slot += 1) {
      assert.ok((await holder.slots.acquire(demand, AbortSignal.timeout(1_000))).granted)
    }
    const [ofAccount, without] = [await holder.slots.acquire({ ...demand, ...callerOf('a', 3) }, AbortSignal.timeout(1_000)), await holder.slots.acquire(demand, AbortSignal.timeout(1_000))]
    assert.deepEqual('standing' in ofAccount ? ofAccount.standing : null, { cause: OrderCause.Load, rank: 3, position: 1 })
    assert.deepEqual([without.granted, 'standing' in without], [false, false])
  })
})

describe('an owner that takes over from one that was lost', () => {
  function request (permit: string, account: string): SlotRequest {
    return { ...demand, permit, holder: 'h', zone: 'a', patience: 10_000, ...callerOf(account) }
  }

  it('does not serve the account first that holds all slots, once holders have reported them', () => {
    const targets = new TargetRegistry()
    targets.replace([target])
    const granted: string[] = []
    const record = (_service: string, decision: SlotDecision): void => {
      if (decision.kind === DecisionKind.Grant) {
        granted.push(decision.permit)
      }
    }
    const owner = new SlotOwner(targets, new TargetFreshness(), new LeavingTargets(), new CrashQuarantine(), new VersionHistory(), record)
    const held = ['x', 'y'].map((permit): HeldSlot => ({ permit, target: 'one', workClass: WorkClass.Online, due: 0, ran: 0, account: 'large', tokens: 7 }))
    owner.report('s', 'h', held)
    for (const [permit, account] of [['l1', 'large'], ['l2', 'large'], ['s1', 'small'], ['s2', 'small'], ['s3', 'small']] as const) {
      owner.request('s', request(permit, account))
    }
    for (const permit of ['x', 'y', 's1', 's2']) {
      owner.release('s', permit, SlotOutcome.Finished, null)
    }
    owner.close()
    assert.deepEqual(granted, ['s1', 's2', 'l1', 's3'])
  })
})

describe('an owner whose holder asks for slots of one service and no longer of another', () => {
  afterEach(() => { mock.timers.reset() })

  it('keeps the charge of its waiting requests, and takes it back once the holder is silent for both', () => {
    mock.timers.enable({ apis: ['setTimeout', 'setImmediate', 'Date'], now: 1_000_000 })
    const allowances = new AccountAllowances(-1_000_000, { windowMilliseconds: 5_000, overage: 0, slack: 0 })
    const charging = new AccountCharging({
      allowances,
      usage: new GrantedUsage(5_000),
      now: () => Date.now(),
      processOf: address => ({ address, incarnation: 1 }),
      onRequest: () => { /* The group does not change. */ },
      onRefused: () => { /* No account has a limit. */ },
      onCharged: () => { /* Nobody is told. */ }
    })
    const targets = new TargetRegistry()
    targets.replace([target, { ...target, id: 'two', service: 'other', address: '1:2' }])
    const owner = new SlotOwner(targets, new TargetFreshness(), new LeavingTargets(), new CrashQuarantine(), new VersionHistory(), () => { /* Decisions are not looked at. */ }, null, undefined, charging)
    const held = ['x', 'y'].map((permit): HeldSlot => ({ permit, target: 'one', workClass: WorkClass.Online, due: 0, ran: 0 }))
    owner.report('other', 'h', [])
    owner.report('s', 'h', held)
    owner.request('s', { ...demand, permit: 'waiting', holder: 'h', zone: 'a', patience: 60_000, ...callerOf('large') })
    const used = (): number => allowances.stateOf('large', Date.now()).used
    for (let passed = 0; passed < 4_000; passed += stepMilliseconds) {
      mock.timers.tick(stepMilliseconds)
      owner.report('s', 'h', held)
      assert.equal(used(), 1, `after ${passed + stepMilliseconds} ms`)
    }
    for (let passed = 0; passed < 4_000; passed += stepMilliseconds) {
      mock.timers.tick(stepMilliseconds)
    }
    owner.close()
    assert.equal(used(), 0)
  })
})
