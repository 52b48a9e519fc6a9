import assert from 'node:assert/strict'
import { MemberKind, MemberState } from '@arbutusloft/adapters'
import { checkResponses } from '../checkers/check-responses.js'
import { checkItems } from '../checkers/check-items.js'
import { chatEndpoint, createChatLines, createItemNames } from '../harness/batch-input.js'
import { waitForResults } from '../harness/wait-for-results.js'
import { sleep, waitUntil } from '@arbutusloft/development'
import { testOnCluster } from '../harness/test-on-cluster.js'

const leavingPropagationMilliseconds = 3_000

testOnCluster('a target that is leaving receives no new request after three seconds', { engines: 2, batches: 1 }, async ({ cluster, caller }) => {
  const names = createItemNames('text', 2_000)
  const batch = await caller.createBatch(await caller.upload(createChatLines(names, 8)), chatEndpoint)
  const [leaving] = cluster.engines
  await waitUntil('both targets have received requests', () => cluster.engines.every(engine => engine.standIn.began > 0))
  leaving?.setState(MemberState.Leaving)
  await sleep(leavingPropagationMilliseconds)
  const begunBefore = leaving?.standIn.began
  await Promise.all(Array.from({ length: 20 }, async (_, index) => { await caller.chat(`slot ${index}`, 4) }))
  await sleep(200)
  assert.equal(leaving?.standIn.began, begunBefore)
  await caller.json(cluster.callerAddresses()[0] ?? '', `/v1/batches/${String(batch['id'])}/cancel`, { method: 'POST' })
})

testOnCluster('draining one process of each kind interrupts no request', { entries: 3, schedulers: 2, batches: 2 }, async ({ cluster, caller, history }) => {
  const names = createItemNames('text', 300)
  const batch = await caller.createBatch(await caller.upload(createChatLines(names, 16)), chatEndpoint)
  const leavingEntries = new Set<string>()
  const load = { stopped: false }
  // Callers keep using an address until their address list has expired, even if its entry is already draining.
  const callers = Array.from({ length: 4 }, async (_, index) => {
    for (let round = 0; !load.stopped; round++) {
      const entries = cluster.processesOfKind(MemberKind.Entry).filter(entry => entry.running && !leavingEntries.has(entry.memberName))
      const address = entries[(index + round) % entries.length]?.addresses['caller'] ?? ''
      await caller.chat(`slot ${index}.${round}`, 20, address)
    }
  })
  const drainOne = async (kind: MemberKind): Promise<void> => {
    const [selected] = cluster.processesOfKind(kind).filter(process => process.running)
    const exitCode = selected?.drain()
    // Callers stop using the entry only when their address list has expired.
    await sleep(200)
    leavingEntries.add(selected?.memberName ?? '')
    assert.equal(await exitCode, 0)
  }
  await waitUntil('calls run', () => history.events.length > 8)
  await drainOne(MemberKind.Entry)
  await drainOne(MemberKind.Scheduler)
  await drainOne(MemberKind.Batch)
  load.stopped = true
  await Promise.all(callers)
  assert.deepEqual(checkResponses(history).violations, [])
  const failed = history.events.filter(event => event.outcome?.isComplete !== true).map(event => event.outcome?.message)
  assert.deepEqual(failed, [])
  assert.deepEqual(checkItems([await waitForResults(caller, String(batch['id']), names)]).violations, [])
})
