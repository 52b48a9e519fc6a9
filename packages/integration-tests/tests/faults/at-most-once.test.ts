import assert from 'node:assert/strict'
import { MemberKind } from '@arbutusloft/adapters'
import { ServiceMode } from '@arbutusloft/stand-ins'
import { checkAtMostOnce, checkNotRun } from '../checkers/check-at-most-once.js'
import { waitUntil } from '@arbutusloft/development'
import { testOnCluster } from '../harness/test-on-cluster.js'

testOnCluster('a retry through another entry gets the first response', { entries: 2 }, async ({ cluster, caller }) => {
  const [first = '', second = ''] = cluster.callerAddresses()
  const response = await caller.sendConfirmation('key', first)
  assert.equal(response.status, 200)
  await waitUntil('the other entry has read the response from the log', async () => (await caller.sendConfirmation('key', second)).status === 200)
  assert.equal((await caller.sendConfirmation('key', second)).text, response.text)
  assert.equal(cluster.service.executions.get('key'), 1)
})

testOnCluster('concurrent requests with one idempotency key through all entries run once', { entries: 3 }, async ({ cluster, caller, history }) => {
  const keys = Array.from({ length: 30 }, (_, index) => `key-${index}`)
  await Promise.all(keys.flatMap(key => cluster.callerAddresses().map(async address => await caller.sendConfirmation(key, address))))
  assert.deepEqual(checkAtMostOnce(history, cluster.service.executions).violations, [])
  assert.deepEqual(checkNotRun(history, cluster.service.executions).violations, [])
  assert.equal(cluster.service.executions.size, keys.length)
})

testOnCluster('a call whose connection broke after it ran is neither sent again nor reported as "not run"', { entries: 2 }, async ({ cluster, caller }) => {
  cluster.service.setMode(ServiceMode.CutAfterRun)
  const interrupted = await caller.sendConfirmation('key')
  assert.equal(interrupted.run, 'outcome-unknown')
  cluster.service.setMode(ServiceMode.Normal)
  for (const address of cluster.callerAddresses()) {
    await waitUntil('the entry has read the intent from the log', async () => (await caller.sendConfirmation('key', address)).status === 409)
  }
  assert.equal(cluster.service.executions.get('key'), 1)
})

testOnCluster('a call of an unreachable service is reported as not run, and a retry runs it', {}, async ({ cluster, caller }) => {
  cluster.instanceList.put({ id: 'service-1', kind: MemberKind.Target, address: '127.0.0.1:1', zone: 'a', state: 'live' })
  let probes = 0
  // Each probe has its own idempotency key, since the first response to a key is repeated for later requests.
  await waitUntil('the entry uses the unreachable address', async () => (await caller.sendConfirmation(`probe-${probes++}`)).run === 'not-run')
  assert.equal((await caller.sendConfirmation('key')).run, 'not-run')
  cluster.instanceList.put({ id: 'service-1', kind: MemberKind.Target, address: cluster.serviceProxy.address, zone: 'a', state: 'live' })
  await waitUntil('a retry runs the call', async () => (await caller.sendConfirmation('key')).status === 200)
  assert.equal(cluster.service.executions.get('key'), 1)
})

testOnCluster('calls during a log outage are rejected as not run and do not run', { entries: 2 }, async ({ cluster, caller, history }) => {
  cluster.log.setFaults({ outage: true })
  const rejected = await Promise.all(['a', 'b', 'c'].map(async key => await caller.sendConfirmation(key)))
  assert.deepEqual(rejected.map(response => response.run), ['not-run', 'not-run', 'not-run'])
  assert.deepEqual(checkNotRun(history, cluster.service.executions).violations, [])
  cluster.log.setFaults({ outage: false })
  await waitUntil('a retry runs the call', async () => (await caller.sendConfirmation('a')).status === 200)
  assert.equal(cluster.service.executions.get('a'), 1)
})

testOnCluster('a call runs at most once although responses to appends are lost', { entries: 2 }, async ({ cluster, caller, history }) => {
  const keys = Array.from({ length: 20 }, (_, index) => `key-${index}`)
  for (const key of keys) {
    cluster.log.setFaults({ loseAnswers: 1 })
    await caller.sendConfirmation(key)
    await caller.sendConfirmation(key)
  }
  assert.deepEqual(checkAtMostOnce(history, cluster.service.executions).violations, [])
  assert.deepEqual(checkNotRun(history, cluster.service.executions).violations, [])
})

testOnCluster('an entry paused between the intent and the response of a call does not run it twice', { entries: 2 }, async ({ cluster, caller, history }) => {
  const [first, second] = cluster.processesOfKind(MemberKind.Entry)
  const keys = Array.from({ length: 12 }, (_, index) => `key-${index}`)
  const responses = Promise.all(keys.map(async key => await caller.sendConfirmation(key, first?.addresses['caller'] ?? '')))
  await waitUntil('intents are written', () => cluster.log.entries('ledger').length > 0)
  first?.signal('SIGSTOP')
  await Promise.all(keys.map(async key => await caller.sendConfirmation(key, second?.addresses['caller'] ?? '')))
  first?.signal('SIGCONT')
  await responses
  assert.deepEqual(checkAtMostOnce(history, cluster.service.executions).violations, [])
  assert.deepEqual(checkNotRun(history, cluster.service.executions).violations, [])
})
