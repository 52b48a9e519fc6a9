import assert from 'node:assert/strict'
import { sample, waitUntil } from '@arbutusloft/development'
import { MemberKind } from '@arbutusloft/adapters'
import type { ChargedRequests } from '../checkers/check-charges.js'
import { checkCharges } from '../checkers/check-charges.js'
import { chatEndpoint, createChatLines, createItemNames } from '../harness/batch-input.js'
import { readCharges } from '../harness/read-charges.js'
import { waitForResults } from '../harness/wait-for-results.js'
import { testOnCluster } from '../harness/test-on-cluster.js'

const client = sample.stylist.client
const callCount = 30

function chargedRequestsOf (charges: readonly ChargedRequests[], subject: string): number {
  return charges.find(charge => charge.client === client && charge.subject === subject)?.requests ?? 0
}

testOnCluster('charges equal the requests served although responses to appends are lost', { entries: 2 }, async ({ cluster, caller }) => {
  const names = createItemNames('text', 50)
  const batch = await caller.createBatch(await caller.upload(createChatLines(names)), chatEndpoint)
  for (let index = 0; index < callCount; index++) {
    cluster.log.setFaults({ loseAnswers: 1 })
    await caller.chat(`slot ${index}`, 4)
    await caller.sendConfirmation(`key ${index}`)
  }
  await waitForResults(caller, String(batch['id']), names)
  const expected = [
    { client, subject: sample.model, minimum: callCount + names.length, maximum: callCount + names.length },
    { client, subject: sample.confirmationService, minimum: callCount, maximum: callCount }
  ]
  await waitUntil('charges have arrived', async () => chargedRequestsOf(await readCharges(cluster), sample.model) >= callCount + names.length)
  assert.deepEqual(checkCharges(await readCharges(cluster), expected).violations, [])
})

testOnCluster('an entry killed before its charges reach the log loses no charge', { entries: 2, schedulers: 1 }, async ({ cluster, caller }) => {
  const [first] = cluster.processesOfKind(MemberKind.Entry)
  first?.logProxy.setRefusing(true)
  first?.logProxy.cut()
  for (let index = 0; index < callCount; index++) {
    await caller.chat(`slot ${index}`, 4, first?.addresses['caller'] ?? '')
  }
  assert.equal(chargedRequestsOf(await readCharges(cluster, 1), sample.model), 0)
  await first?.kill()
  await waitUntil('the scheduler has appended the charges', async () => chargedRequestsOf(await readCharges(cluster), sample.model) === callCount)
})

testOnCluster('an entry and a scheduler killed together during a log outage lose no charge', { entries: 2, schedulers: 3 }, async ({ cluster, caller }) => {
  const [entry] = cluster.processesOfKind(MemberKind.Entry)
  const [scheduler] = cluster.processesOfKind(MemberKind.Scheduler)
  cluster.log.setFaults({ outage: true })
  for (let index = 0; index < callCount; index++) {
    await caller.chat(`slot ${index}`, 4, entry?.addresses['caller'] ?? '')
  }
  await entry?.kill()
  await scheduler?.kill()
  cluster.log.setFaults({ outage: false })
  await waitUntil('the remaining schedulers have appended the charges', async () => chargedRequestsOf(await readCharges(cluster), sample.model) === callCount)
})

testOnCluster('retries with one idempotency key are charged once', { entries: 2 }, async ({ cluster, caller }) => {
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
  await waitUntil('charges have arrived', async () => chargedRequestsOf(await readCharges(cluster), sample.model) >= 2)
  assert.equal(chargedRequestsOf(await readCharges(cluster), sample.model), 2)
})
