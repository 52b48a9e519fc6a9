import assert from 'node:assert/strict'
import { MemberKind, MemberState } from '@arbutusloft/adapters'
import { checkAnswers } from '../checkers/check-answers.js'
import { checkItems } from '../checkers/check-items.js'
import { chatEndpoint, chatLines, itemNames } from '../harness/batch-input.js'
import { readResults } from '../harness/read-results.js'
import { pause, until } from '@arbutusloft/development'
import { testOnCluster } from '../harness/with-cluster.js'

const leavingMilliseconds = 3_000

testOnCluster('a target that is leaving gets nothing new after three seconds', { engines: 2, batches: 1 }, async ({ cluster, caller }) => {
  const names = itemNames('text', 2_000)
  const batch = await caller.createBatch(await caller.upload(chatLines(names, 8)), chatEndpoint)
  const [leaving] = cluster.engines
  await until('both targets work', () => cluster.engines.every(engine => engine.engine.began > 0))
  leaving?.setState(MemberState.Leaving)
  await pause(leavingMilliseconds)
  const before = leaving?.engine.began
  await Promise.all(Array.from({ length: 20 }, async (_, index) => { await caller.chat(`slot ${index}`, 4) }))
  await pause(200)
  assert.equal(leaving?.engine.began, before)
  await caller.json(cluster.callerAddresses()[0] ?? '', `/v1/batches/${String(batch['id'])}/cancel`, { method: 'POST' })
})

testOnCluster('SIGTERM drains every process and cuts no request', { entries: 3, schedulers: 2, batches: 2 }, async ({ cluster, caller, history }) => {
  const names = itemNames('text', 300)
  const batch = await caller.createBatch(await caller.upload(chatLines(names, 16)), chatEndpoint)
  const leavingEntries = new Set<string>()
  const load = { stopped: false }
  // Callers keep an address for as long as they were told, whatever happens to the entry meanwhile.
  const kept = Array.from({ length: 4 }, async (_, index) => {
    for (let round = 0; !load.stopped; round++) {
      const addresses = cluster.of(MemberKind.Entry).filter(entry => entry.running && !leavingEntries.has(entry.member))
      const address = addresses[(index + round) % addresses.length]?.addresses['caller'] ?? ''
      await caller.chat(`slot ${index}.${round}`, 20, address)
    }
  })
  const leave = async (kind: MemberKind): Promise<void> => {
    const [candidate] = cluster.of(kind).filter(process => process.running)
    const left = candidate?.leave()
    // Callers learn of the leaving entry when their address answer has expired.
    await pause(200)
    leavingEntries.add(candidate?.member ?? '')
    assert.equal(await left, 0)
  }
  await until('calls run', () => history.events.length > 8)
  await leave(MemberKind.Entry)
  await leave(MemberKind.Scheduler)
  await leave(MemberKind.Batch)
  load.stopped = true
  await Promise.all(kept)
  assert.deepEqual(checkAnswers(history).broken, [])
  const failed = history.events.filter(event => event.outcome?.whole !== true).map(event => event.outcome?.message)
  assert.deepEqual(failed, [])
  assert.deepEqual(checkItems([await readResults(caller, String(batch['id']), names)]).broken, [])
})
