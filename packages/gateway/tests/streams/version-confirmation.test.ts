/** Tests when a process may rely on the software versions that it has seen, over an in-memory network. */
import assert from 'node:assert/strict'
import { describe, it, mock } from 'node:test'
import { VersionHistory } from '@arbutusloft/policy'
import { MemberState } from '../../src/peers/member.js'
import type { Member } from '../../src/peers/member.js'
import { VersionConfirmation } from '../../src/streams/version-confirmation.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'

const service = 's'

interface Process {
  readonly address: string
  readonly history: VersionHistory
  readonly confirmation: VersionConfirmation
}

/** Starts processes that each have seen the given versions; the lists of none of them can be read, but for those named in `readable`. */
function startProcesses (network: LoopbackNetwork, versions: ReadonlyArray<readonly string[]>, readable: readonly number[] = []): readonly Process[] {
  const members = versions.map((_, index): Member => ({ address: `10.0.0.${index}`, zone: 'a', incarnation: 1, capacity: 1_000, state: MemberState.Ready }))
  return members.map((self, index) => {
    const history = new VersionHistory()
    history.restore(new Map(), 0)
    history.observe(service, new Set(versions[index]), Date.now())
    const freshness = { confirm: async () => await Promise.resolve(readable.includes(index)) }
    const nearOwners = (): readonly string[] => members.slice(0, 3).map(({ address }) => address)
    const membership = { self, live: () => members }
    return { address: self.address, history, confirmation: new VersionConfirmation({ versions: history, freshness, membership, transport: network.join(self.address), nearOwners }) }
  })
}

describe('VersionConfirmation', () => {
  it('confirms what a process knows that has read the list, also if nobody answers it', async () => {
    const network = new LoopbackNetwork()
    const [process] = startProcesses(network, [['v1'], ['v1']], [0])
    network.isolate('10.0.0.0')
    assert.equal(await process?.confirmation.confirm(service), true)
  })

  it('confirms what a process knows that cannot read the list if others know no other version', async () => {
    const [process] = startProcesses(new LoopbackNetwork(), [['v1'], ['v1'], ['v1']])
    const startedAt = Date.now()
    assert.equal(await process?.confirmation.confirm(service), true)
    assert.ok(Date.now() - startedAt < 100, `took ${Date.now() - startedAt} ms`)
  })

  for (const [name, others] of [['another version besides', ['v1', 'v2']], ['only another version', ['v2']]] as const) {
    it(`does not confirm what a process knows if one of the others has seen ${name}, and tells that it is not the only one`, async () => {
      const [process] = startProcesses(new LoopbackNetwork(), [['v1'], ['v1'], others, ['v1']])
      assert.equal(await process?.confirmation.confirm(service), false)
      assert.equal(process.history.soleVersion(service, Date.now()), null)
    })
  }

  it('confirms nothing, soon, for a process that reaches neither the store nor another process', async () => {
    const network = new LoopbackNetwork()
    const [process] = startProcesses(network, [['v1'], ['v1'], ['v1']])
    network.isolate('10.0.0.0')
    const startedAt = Date.now()
    assert.equal(await process?.confirmation.confirm(service), false)
    assert.ok(Date.now() - startedAt < 400, `took ${Date.now() - startedAt} ms`)
    const [alone] = startProcesses(new LoopbackNetwork(), [['v1']])
    assert.equal(await alone?.confirmation.confirm(service), false)
  })

  it('takes answers that have arrived in time though the process was held up until after the time for answers', async context => {
    mock.timers.enable({ apis: ['Date', 'setTimeout'], now: 1_000_000 })
    context.after(() => { mock.timers.reset() })
    const network = new LoopbackNetwork()
    const [process] = startProcesses(network, [['v1'], ['v1'], ['v1']])
    assert.ok(process !== undefined)
    const confirmed = process.confirmation.confirm(service)
    network.pause(process.address)
    await Promise.resolve()
    mock.timers.tick(1_000)
    network.unpause(process.address)
    mock.timers.tick(1)
    assert.equal(await confirmed, true)
  })

  it('confirms by the answers that come when others are lost, and asks six processes at most', async () => {
    const network = new LoopbackNetwork()
    const processes = startProcesses(network, Array.from({ length: 40 }, () => ['v1']))
    processes.slice(1, 3).forEach(({ address }) => { network.isolate(address) })
    assert.equal(await processes[0]?.confirmation.confirm(service), true)
    // Four answers, and two processes that are asked twice.
    assert.ok(network.sent <= 12, `${network.sent} messages`)
  })

  it('decides on several questions for a service at once', async () => {
    const [process] = startProcesses(new LoopbackNetwork(), [['v1'], ['v1', 'v2']])
    assert.deepEqual(await Promise.all([process?.confirmation.confirm(service), process?.confirmation.confirm(service)]), [false, false])
  })
})
