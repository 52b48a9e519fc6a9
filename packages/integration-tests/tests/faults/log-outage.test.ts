import assert from 'node:assert/strict'
import { checkResponses } from '../checkers/check-responses.js'
import { checkItems } from '../checkers/check-items.js'
import { chatEndpoint, createChatLines, createItemNames } from '../harness/batch-input.js'
import { waitForResults } from '../harness/wait-for-results.js'
import { sleep, waitUntil } from '@arbutusloft/development'
import { testOnCluster } from '../harness/test-on-cluster.js'

testOnCluster('during a log outage online requests are served, batch results are kept, and new batches are rejected as not run or with an unknown outcome', {
  entries: 2,
  batches: 2,
  log: { appendsPerSecond: 200 }
}, async ({ cluster, caller, history }) => {
  const names = createItemNames('text', 400)
  const file = await caller.upload(createChatLines(names, 16))
  const batch = await caller.createBatch(file, chatEndpoint)
  const id = String(batch['id'])
  await waitUntil('items complete', () => cluster.engines.some(engine => engine.standIn.began > 30))
  cluster.log.setFaults({ outage: true })
  const begunBefore = cluster.engines.reduce((sum, engine) => sum + engine.standIn.began, 0)
  for (let index = 0; index < 20; index++) {
    await caller.chat(`slot ${index}`, 8)
  }
  await assert.rejects(caller.createBatch(file, chatEndpoint, 'refused'), /not-run|outcome-unknown/)
  await sleep(500)
  const begunAfter = cluster.engines.reduce((sum, engine) => sum + engine.standIn.began, 0)
  assert.ok(begunAfter - begunBefore > 20, `${begunAfter - begunBefore} requests began during the outage, expected more than the 20 online ones`)
  assert.deepEqual(checkResponses(history).violations, [])
  assert.ok(history.events.every(event => event.outcome?.isComplete === true))
  cluster.log.setFaults({ outage: false })
  assert.deepEqual(checkItems([await waitForResults(caller, id, names)]).violations, [])
  assert.equal(cluster.log.refused, 0)
})
