import assert from 'node:assert/strict'
import { MemberKind } from '@arbutusloft/adapters'
import { ServiceMode } from '@arbutusloft/stand-ins'
import { checkAtMostOnce, checkNotRun } from '../checkers/check-single-calls.js'
import { until } from '@arbutusloft/development'
import { testOnCluster } from '../harness/with-cluster.js'

testOnCluster('a resend through another entry gets the first answer', { entries: 2 }, async ({ cluster, caller }) => {
  const [first = '', second = ''] = cluster.callerAddresses()
  const answer = await caller.confirm('key', first)
  assert.equal(answer.status, 200)
  await until('the other entry knows the answer', async () => (await caller.confirm('key', second)).status === 200)
  assert.equal((await caller.confirm('key', second)).text, answer.text)
  assert.equal(cluster.service.executions.get('key'), 1)
})

testOnCluster('concurrent sends of one key through all entries run once', { entries: 3 }, async ({ cluster, caller, history }) => {
  const keys = Array.from({ length: 30 }, (_, index) => `key-${index}`)
  await Promise.all(keys.flatMap(key => cluster.callerAddresses().map(async address => await caller.confirm(key, address))))
  assert.deepEqual(checkAtMostOnce(history, cluster.service.executions).broken, [])
  assert.deepEqual(checkNotRun(history, cluster.service.executions).broken, [])
  assert.equal(cluster.service.executions.size, keys.length)
})

testOnCluster('a call cut off after it ran is never sent again and never called "not run"', { entries: 2 }, async ({ cluster, caller }) => {
  cluster.service.setMode(ServiceMode.CutAfterRun)
  const cut = await caller.confirm('key')
  assert.equal(cut.run, 'outcome-unknown')
  cluster.service.setMode(ServiceMode.Normal)
  for (const address of cluster.callerAddresses()) {
    await until('the entry knows the intent', async () => (await caller.confirm('key', address)).status === 409)
  }
  assert.equal(cluster.service.executions.get('key'), 1)
})

testOnCluster('an unreachable service leaves the call not run, and a resend runs it', {}, async ({ cluster, caller }) => {
  cluster.instanceList.put({ id: 'service-1', kind: MemberKind.Target, address: '127.0.0.1:1', zone: 'a', state: 'live' })
  let probes = 0
  // Each probe has a key of its own, since a key that was answered keeps its answer.
  await until('the entry sees the address', async () => (await caller.confirm(`probe-${probes++}`)).run === 'not-run')
  assert.equal((await caller.confirm('key')).run, 'not-run')
  cluster.instanceList.put({ id: 'service-1', kind: MemberKind.Target, address: cluster.serviceProxy.address, zone: 'a', state: 'live' })
  await until('a resend runs it', async () => (await caller.confirm('key')).status === 200)
  assert.equal(cluster.service.executions.get('key'), 1)
})

testOnCluster('while the log is down calls are refused as not run, and they were not', { entries: 2 }, async ({ cluster, caller, history }) => {
  cluster.log.setFaults({ outage: true })
  const refused = await Promise.all(['a', 'b', 'c'].map(async key => await caller.confirm(key)))
  assert.deepEqual(refused.map(answer => answer.run), ['not-run', 'not-run', 'not-run'])
  assert.deepEqual(checkNotRun(history, cluster.service.executions).broken, [])
  cluster.log.setFaults({ outage: false })
  await until('a resend runs', async () => (await caller.confirm('a')).status === 200)
  assert.equal(cluster.service.executions.get('a'), 1)
})

testOnCluster('appends whose answers are lost neither lose nor double a call', { entries: 2 }, async ({ cluster, caller, history }) => {
  const keys = Array.from({ length: 20 }, (_, index) => `key-${index}`)
  for (const key of keys) {
    cluster.log.setFaults({ loseAnswers: 1 })
    await caller.confirm(key)
    await caller.confirm(key)
  }
  assert.deepEqual(checkAtMostOnce(history, cluster.service.executions).broken, [])
  assert.deepEqual(checkNotRun(history, cluster.service.executions).broken, [])
})

testOnCluster('an entry paused between its intent and its answer does not run a call twice', { entries: 2 }, async ({ cluster, caller, history }) => {
  const [first, second] = cluster.of(MemberKind.Entry)
  const keys = Array.from({ length: 12 }, (_, index) => `key-${index}`)
  const sent = Promise.all(keys.map(async key => await caller.confirm(key, first?.addresses['caller'] ?? '')))
  await until('intents are written', () => cluster.log.entries('ledger').length > 0)
  first?.signal('SIGSTOP')
  await Promise.all(keys.map(async key => await caller.confirm(key, second?.addresses['caller'] ?? '')))
  first?.signal('SIGCONT')
  await sent
  assert.deepEqual(checkAtMostOnce(history, cluster.service.executions).broken, [])
  assert.deepEqual(checkNotRun(history, cluster.service.executions).broken, [])
})
