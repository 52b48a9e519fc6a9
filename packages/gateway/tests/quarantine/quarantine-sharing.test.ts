/** Tests how processes share the quarantine: among each other, with a new owner, and through the log. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { QuarantineAdmission, CrashQuarantine } from '@arbutusloft/policy'
import type { QuarantineEntry } from '@arbutusloft/policy'
import { GatewayMetrics } from '../../src/metrics.js'
import { MemberState } from '../../src/peers/member.js'
import type { Member } from '../../src/peers/member.js'
import { QuarantineLog } from '../../src/quarantine/quarantine-log.js'
import { QuarantineSharing } from '../../src/quarantine/quarantine-sharing.js'
import { sleep } from '../../src/util/sleep.js'
import { FaultyLog } from '../util/faulty-topic.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

const part = 'crashing'
const deliveryMilliseconds = 30
const successors = 3

interface Process {
  readonly address: string
  readonly quarantine: CrashQuarantine
  readonly sharing: QuarantineSharing
}

function memberAt (address: string): Member {
  return { address, zone: 'a', incarnation: 1, capacity: 1_000, state: MemberState.Ready }
}

function createLog (): FaultyLog {
  // 1 is above the probability of every fault.
  return new FaultyLog(() => 1, false)
}

function createProcesses (count: number, network: LoopbackNetwork, log = createLog()): readonly Process[] {
  const members = Array.from({ length: count }, (_, index) => memberAt(`10.0.${index >>> 8}.${index % 256}`))
  return members.map(self => {
    const quarantine = new CrashQuarantine()
    const logger = createTestLogger()
    const sharing = new QuarantineSharing({
      quarantine,
      membership: { self, live: () => members },
      transport: network.join(self.address),
      successors: () => members.slice(0, successors).filter(member => member !== self).map(({ address }) => address),
      log: new QuarantineLog(log.connect(), logger),
      metrics: new GatewayMetrics(),
      logger
    })
    return { address: self.address, quarantine, sharing }
  })
}

function crashThrice (quarantine: CrashQuarantine): void {
  for (const target of ['one', 'two', 'three']) {
    quarantine.onCrashed(`at-${target}`, { target, parts: [part], digest: '' }, Date.now())
  }
}

function isHeldBack ({ quarantine }: Process): boolean {
  return quarantine.decide({ parts: [part], digest: '' }, Date.now()).admission === QuarantineAdmission.Quarantined
}

describe('QuarantineSharing', () => {
  for (const count of [12, 76, 195]) {
    it(`tells ${count} members of a change with one datagram of less than 200 bytes for each, and sends nothing otherwise`, async () => {
      const network = new LoopbackNetwork()
      const processes = createProcesses(count, network)
      const [owner] = processes
      assert.ok(owner !== undefined)
      owner.quarantine.onCrashed('p', { target: 'zero', parts: ['another'], digest: '' }, Date.now())
      owner.quarantine.onCompleted({ parts: ['another'], digest: '' })
      assert.equal(network.sent, 0)
      crashThrice(owner.quarantine)
      await sleep(deliveryMilliseconds)
      assert.ok(processes.every(isHeldBack))
      assert.equal(network.sent, count - 1)
      assert.ok(network.largestMessageBytes < 200, `a datagram has ${network.largestMessageBytes} bytes`)
    })
  }

  for (const count of [12, 76, 195]) {
    it(`tells only the next owners among ${count} members of crashes under a request that is not in quarantine yet`, async () => {
      const network = new LoopbackNetwork()
      const processes = createProcesses(count, network)
      const [owner, next, last] = processes
      owner?.quarantine.onCrashed('p', { target: 'zero', parts: [part], digest: 'request' }, Date.now())
      await sleep(deliveryMilliseconds)
      assert.equal(network.sent, successors - 1)
      assert.deepEqual([next, last].map(process => process?.quarantine.entries(0).map(({ crashes }) => crashes)), [[1], [1]])
      assert.ok(processes.slice(successors).every(({ quarantine }) => !quarantine.isActive))
      assert.ok(network.largestMessageBytes < 200, `a datagram has ${network.largestMessageBytes} bytes`)
    })
  }

  it('tells a new owner all that is in quarantine, in datagrams that fit one packet', async () => {
    const network = new LoopbackNetwork()
    const [known, newOwner] = createProcesses(2, network)
    assert.ok(known !== undefined && newOwner !== undefined)
    const entries = Array.from({ length: 500 }, (_, index): QuarantineEntry => ({ digest: `ffffffffff${String(index).padStart(6, '0')}`, version: 1, periods: 3, remaining: 60_000 }))
    for (const entry of entries) {
      known.quarantine.merge(entry, Date.now())
    }
    known.sharing.tell(newOwner.address)
    await sleep(deliveryMilliseconds)
    assert.equal(newOwner.quarantine.entries(Date.now()).length, entries.length)
    assert.ok(network.largestMessageBytes <= 1_472, `a datagram has ${network.largestMessageBytes} bytes`)
  })

  it('tells a new owner what was cleared, so that it does not hold it back for a message that was lost', async () => {
    const network = new LoopbackNetwork()
    const [known, newOwner] = createProcesses(2, network)
    assert.ok(known !== undefined && newOwner !== undefined)
    crashThrice(known.quarantine)
    await sleep(deliveryMilliseconds)
    assert.ok(isHeldBack(newOwner))
    network.isolate(newOwner.address)
    known.quarantine.onCompleted({ parts: [part], digest: '' })
    await sleep(deliveryMilliseconds)
    network.reconnect(newOwner.address)
    await sleep(deliveryMilliseconds)
    assert.ok(isHeldBack(newOwner))
    known.sharing.tell(newOwner.address)
    await sleep(deliveryMilliseconds)
    assert.ok(!isHeldBack(newOwner))
  })

  it('tells a new owner which parts were answered, so that it does not take connections which break for crashes under them', async () => {
    const network = new LoopbackNetwork()
    const [known, newOwner] = createProcesses(2, network)
    assert.ok(known !== undefined && newOwner !== undefined)
    known.quarantine.rememberAnswered({ parts: [part], digest: '' })
    known.sharing.tell(newOwner.address)
    await sleep(deliveryMilliseconds)
    assert.ok(!newOwner.quarantine.isActive)
    crashThrice(newOwner.quarantine)
    assert.ok(!isHeldBack(newOwner))
  })

  it('restores the quarantine from the log after all processes are lost, and a part that was cleared stays cleared', async () => {
    const log = createLog()
    const [before] = createProcesses(1, new LoopbackNetwork(), log)
    assert.ok(before !== undefined)
    crashThrice(before.quarantine)
    await sleep(deliveryMilliseconds)
    const [after] = createProcesses(1, new LoopbackNetwork(), log)
    assert.ok(after !== undefined && !isHeldBack(after))
    await after.sharing.load()
    assert.ok(isHeldBack(after))
    after.quarantine.onCompleted({ parts: [part], digest: '' })
    await sleep(deliveryMilliseconds)
    const [last] = createProcesses(1, new LoopbackNetwork(), log)
    await last?.sharing.load()
    assert.ok(last !== undefined && !isHeldBack(last))
  })

  it('skips a record that it cannot read', async () => {
    const log = createLog()
    await log.connect().append([{ key: 'digest', value: Buffer.from('not a record') }], null)
    const [process] = createProcesses(1, new LoopbackNetwork(), log)
    await process?.sharing.load()
    assert.deepEqual(process?.quarantine.entries(Date.now()), [])
  })
})
