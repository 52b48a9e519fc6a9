import assert from 'node:assert/strict'
import { sample, waitUntil } from '@arbutusloft/development'
import type { Cluster } from '@arbutusloft/development'
import { MemberKind } from '@arbutusloft/adapters'
import { editPlan, findSamplePlan, fetchUsageList } from '../harness/plan-editor.js'
import { testOnCluster } from '../harness/test-on-cluster.js'

const requestsPerMinute = 120
const requestsPerSecond = requestsPerMinute / 60
const burstSeconds = 2
const entryCount = 3
const waveCount = 20
const millisecondsPerSecond = 1_000

/** Number of requests that were admitted, and how many seconds they took. */
interface WavesResult {
  readonly admitted: number
  readonly seconds: number
}

/** Sends waves of one request to every entry, each wave as soon as the last is answered, and checks the status and headers of rejections. */
async function sendWaves (cluster: Cluster): Promise<WavesResult> {
  const startedAt = Date.now()
  let admitted = 0
  for (let wave = 0; wave < waveCount; wave++) {
    const responses = await Promise.all(cluster.callerAddresses().map(async address => await fetch(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${sample.stylist.key}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: sample.model, max_tokens: 1, messages: [{ role: 'user', content: 'slot' }] })
    })))
    for (const response of responses) {
      await response.text()
      if (response.ok) {
        admitted += 1
      } else {
        assert.equal(response.status, 429)
        assert.equal(response.headers.get('x-arbutus-run'), 'not-run')
        assert.ok(Number(response.headers.get('retry-after-ms')) > 0)
      }
    }
  }
  return { admitted, seconds: (Date.now() - startedAt) / millisecondsPerSecond }
}

/** Returns how many requests the plan admits in the time: its rate, its burst, and one request per entry, since the token bucket of each entry holds at least one. */
function maximumAdmittedRequests ({ seconds }: WavesResult): number {
  return requestsPerSecond * (seconds + burstSeconds) + entryCount
}

testOnCluster('a client\'s request rate is limited across entries, with the scheduler that owns its limits and without', { entries: entryCount, schedulers: 2 }, async ({ cluster }) => {
  const { revision } = findSamplePlan(await fetchUsageList(cluster.operatorAddress()))
  assert.equal(await editPlan(cluster.operatorAddress(), revision, requestsPerMinute), 200)
  await waitUntil('the limit is in force at every entry', async () => {
    const lists = await Promise.all(cluster.processesOfKind(MemberKind.Entry).map(async entry => await fetchUsageList(entry.addresses['operator'] ?? '')))
    return lists.every(list => findSamplePlan(list).body.includes(`= ${requestsPerMinute}\n`))
  })
  const withOwner = await sendWaves(cluster)
  assert.ok(withOwner.admitted > 0)
  assert.ok(withOwner.admitted <= maximumAdmittedRequests(withOwner), `${withOwner.admitted} requests were admitted in ${withOwner.seconds} s`)
  for (const scheduler of cluster.processesOfKind(MemberKind.Scheduler)) {
    await scheduler.kill()
  }
  const withoutOwner = await sendWaves(cluster)
  assert.ok(withoutOwner.admitted <= maximumAdmittedRequests(withoutOwner), `${withoutOwner.admitted} requests were admitted in ${withoutOwner.seconds} s without an owner of the limits`)
})
