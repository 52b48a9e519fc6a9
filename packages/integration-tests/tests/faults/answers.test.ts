import assert from 'node:assert/strict'
import { checkAnswers } from '../checkers/check-answers.js'
import type { ClusterTest } from '../harness/with-cluster.js'
import { pause, until } from '@arbutusloft/development'
import { testOnCluster } from '../harness/with-cluster.js'

const calls = 24
const longAnswer = 60

/** Sends calls that last while the body injects faults, and checks that every answer is whole and right. */
async function duringCalls ({ caller, cluster, history }: ClusterTest, inject: () => Promise<void>): Promise<void> {
  const sent = Array.from({ length: calls }, async (_, index) => { await caller.chat(`slot for client ${index}`, longAnswer) })
  await until('streams run', () => cluster.engines.some(engine => engine.engine.running > 2))
  await inject()
  await Promise.all(sent)
  assert.deepEqual(checkAnswers(history).broken, [])
  const failed = history.events.filter(event => event.outcome?.whole !== true).map(event => event.outcome?.message)
  assert.deepEqual(failed, [])
}

testOnCluster('streams cut between entry and target go on where they were', {}, async given => {
  await duringCalls(given, async () => {
    for (let round = 0; round < 3; round++) {
      given.cluster.engines.forEach(engine => { engine.proxy.cut() })
      await pause(30)
    }
  })
})

testOnCluster('connections that go silent for good are replaced by new ones', {}, async given => {
  await duringCalls(given, async () => { given.cluster.engines.forEach(engine => { engine.proxy.blackhole() }) })
})

testOnCluster('connections that the target half closes are resumed', {}, async given => {
  await duringCalls(given, async () => { given.cluster.engines.forEach(engine => { engine.proxy.halfClose() }) })
})

testOnCluster('a target that dies has its streams finished by another', { engines: 3 }, async given => {
  const [first] = given.cluster.engines
  await duringCalls(given, async () => {
    await first?.engine.close()
    first?.proxy.cut()
  })
})

testOnCluster('schedulers killed one after the other interrupt no stream', { schedulers: 2, entries: 2 }, async given => {
  await duringCalls(given, async () => {
    for (const scheduler of given.cluster.of('scheduler')) {
      await scheduler.kill()
    }
    await given.caller.chat('with no scheduler at all', 4)
  })
})
