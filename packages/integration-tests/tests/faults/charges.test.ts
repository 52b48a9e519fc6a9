import assert from 'node:assert/strict'
import { sample, until } from '@arbutusloft/development'
import { MemberKind } from '@arbutusloft/adapters'
import type { ChargedRequests } from '../checkers/check-charges.js'
import { checkCharges } from '../checkers/check-charges.js'
import { chatEndpoint, chatLines, itemNames } from '../harness/batch-input.js'
import { readCharges } from '../harness/read-charges.js'
import { readResults } from '../harness/read-results.js'
import { testOnCluster } from '../harness/with-cluster.js'

const client = sample.stylist.client
const calls = 30

function requestsOf (charges: readonly ChargedRequests[], subject: string): number {
  return charges.find(line => line.client === client && line.subject === subject)?.requests ?? 0
}

testOnCluster('charges equal what was answered, through lost append answers', { entries: 2 }, async ({ cluster, caller }) => {
  const names = itemNames('text', 50)
  const batch = await caller.createBatch(await caller.upload(chatLines(names)), chatEndpoint)
  for (let index = 0; index < calls; index++) {
    cluster.log.setFaults({ loseAnswers: 1 })
    await caller.chat(`slot ${index}`, 4)
    await caller.confirm(`key ${index}`)
  }
  await readResults(caller, String(batch['id']), names)
  const expected = [
    { client, subject: sample.model, certainly: calls + names.length, atMost: calls + names.length },
    { client, subject: sample.service, certainly: calls, atMost: calls }
  ]
  await until('charges have arrived', async () => requestsOf(await readCharges(cluster), sample.model) >= calls + names.length)
  assert.deepEqual(checkCharges(await readCharges(cluster), expected).broken, [])
})

testOnCluster('an entry killed before its charges reach the log loses none', { entries: 2, schedulers: 1 }, async ({ cluster, caller }) => {
  const [first] = cluster.of(MemberKind.Entry)
  first?.logLink.setRefusing(true)
  first?.logLink.cut()
  for (let index = 0; index < calls; index++) {
    await caller.chat(`slot ${index}`, 4, first?.addresses['caller'] ?? '')
  }
  assert.equal(requestsOf(await readCharges(cluster, 1), sample.model), 0)
  await first?.kill()
  await until('the scheduler has appended them', async () => requestsOf(await readCharges(cluster), sample.model) === calls)
})

testOnCluster('an entry and a scheduler lost together, before the log came back, lose no charge', { entries: 2, schedulers: 3 }, async ({ cluster, caller }) => {
  const [entry] = cluster.of(MemberKind.Entry)
  const [scheduler] = cluster.of(MemberKind.Scheduler)
  cluster.log.setFaults({ outage: true })
  for (let index = 0; index < calls; index++) {
    await caller.chat(`slot ${index}`, 4, entry?.addresses['caller'] ?? '')
  }
  await entry?.kill()
  await scheduler?.kill()
  cluster.log.setFaults({ outage: false })
  await until('the other schedulers have appended them', async () => requestsOf(await readCharges(cluster), sample.model) === calls)
})

testOnCluster('resends with one key are charged once', { entries: 2 }, async ({ cluster, caller }) => {
  const send = async (address: string): Promise<void> => {
    await caller.json(address, '/v1/chat/completions', {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'idempotency-key': 'cake' },
      body: JSON.stringify({ model: sample.model, max_tokens: 4, messages: [{ role: 'user', content: 'cake' }] })
    })
  }
  for (const address of [...cluster.callerAddresses(), ...cluster.callerAddresses()]) {
    await send(address)
  }
  await caller.chat('afterwards', 4)
  await until('charges have arrived', async () => requestsOf(await readCharges(cluster), sample.model) >= 2)
  assert.equal(requestsOf(await readCharges(cluster), sample.model), 2)
})
