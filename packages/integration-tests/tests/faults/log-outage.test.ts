import assert from 'node:assert/strict'
import { checkAnswers } from '../checkers/check-answers.js'
import { checkItems } from '../checkers/check-items.js'
import { chatEndpoint, chatLines, itemNames } from '../harness/batch-input.js'
import { readResults } from '../harness/read-results.js'
import { pause, until } from '@arbutusloft/development'
import { testOnCluster } from '../harness/with-cluster.js'

testOnCluster('through an outage of the log online goes on, batch results are kept, and accepts are refused truthfully', {
  entries: 2,
  batches: 2,
  log: { appendsPerSecond: 200 }
}, async ({ cluster, caller, history }) => {
  const names = itemNames('text', 400)
  const file = await caller.upload(chatLines(names, 16))
  const batch = await caller.createBatch(file, chatEndpoint)
  const id = String(batch['id'])
  await until('items complete', () => cluster.engines.some(engine => engine.engine.began > 30))
  cluster.log.setFaults({ outage: true })
  const began = cluster.engines.reduce((sum, engine) => sum + engine.engine.began, 0)
  for (let index = 0; index < 20; index++) {
    await caller.chat(`slot ${index}`, 8)
  }
  await assert.rejects(caller.createBatch(file, chatEndpoint, 'refused'), /not-run|outcome-unknown/)
  await pause(500)
  const during = cluster.engines.reduce((sum, engine) => sum + engine.engine.began, 0)
  assert.ok(during - began > 20, 'batch work went on')
  assert.deepEqual(checkAnswers(history).broken, [])
  assert.ok(history.events.every(event => event.outcome?.whole === true))
  cluster.log.setFaults({ outage: false })
  assert.deepEqual(checkItems([await readResults(caller, id, names)]).broken, [])
  assert.equal(cluster.log.refused, 0)
})
