import assert from 'node:assert/strict'
import { checkResponses } from '../checkers/check-responses.js'
import type { ClusterTest } from '../harness/test-on-cluster.js'
import { sleep, waitUntil } from '@arbutusloft/development'
import { testOnCluster } from '../harness/test-on-cluster.js'

const streamCount = 24
const tokensPerStream = 60

/** Injects faults while long streams run, and checks that every response is complete and correct. */
async function injectFaultDuringStreams ({ caller, cluster, history }: ClusterTest, inject: () => Promise<void>): Promise<void> {
  const streams = Array.from({ length: streamCount }, async (_, index) => { await caller.chat(`slot for client ${index}`, tokensPerStream) })
  await waitUntil('streams run', () => cluster.engines.some(engine => engine.standIn.running > 2))
  await inject()
  await Promise.all(streams)
  assert.deepEqual(checkResponses(history).violations, [])
  const failureMessages = history.events.filter(event => event.outcome?.isComplete !== true).map(event => event.outcome?.message)
  assert.deepEqual(failureMessages, [])
}

testOnCluster('streams cut between entry and target resume where they broke off', {}, async fixtures => {
  await injectFaultDuringStreams(fixtures, async () => {
    for (let round = 0; round < 3; round++) {
      fixtures.cluster.engines.forEach(engine => { engine.proxy.cut() })
      await sleep(30)
    }
  })
})

testOnCluster('streams whose connections become unresponsive are completed over new ones', {}, async fixtures => {
  await injectFaultDuringStreams(fixtures, async () => { fixtures.cluster.engines.forEach(engine => { engine.proxy.blackhole() }) })
})

testOnCluster('streams whose connections the target half-closes are resumed', {}, async fixtures => {
  await injectFaultDuringStreams(fixtures, async () => { fixtures.cluster.engines.forEach(engine => { engine.proxy.halfClose() }) })
})

testOnCluster('streams of a failed target are completed by another target', { engines: 3 }, async fixtures => {
  const [firstEngine] = fixtures.cluster.engines
  await injectFaultDuringStreams(fixtures, async () => {
    await firstEngine?.standIn.close()
    firstEngine?.proxy.cut()
  })
})

testOnCluster('schedulers killed one after the other interrupt no stream', { schedulers: 2, entries: 2 }, async fixtures => {
  await injectFaultDuringStreams(fixtures, async () => {
    for (const scheduler of fixtures.cluster.processesOfKind('scheduler')) {
      await scheduler.kill()
    }
    await fixtures.caller.chat('with no scheduler at all', 4)
  })
})
