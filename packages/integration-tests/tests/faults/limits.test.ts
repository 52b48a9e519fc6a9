import assert from 'node:assert/strict'
import { sample, until } from '@arbutusloft/development'
import type { Cluster } from '@arbutusloft/development'
import { MemberKind } from '@arbutusloft/adapters'
import { editPlan, planOf, usageAt } from '../harness/plan-editor.js'
import { testOnCluster } from '../harness/with-cluster.js'

const requestsPerMinute = 120
const requestsPerSecond = requestsPerMinute / 60
const burstSeconds = 2
const entries = 3
const waves = 20
const millisecondsPerSecond = 1_000

interface Admitted {
  readonly admitted: number
  readonly seconds: number
}

/** Asks every entry in waves, as fast as they answer, and checks how refusals are told. */
async function flood (cluster: Cluster): Promise<Admitted> {
  const startedAt = Date.now()
  let admitted = 0
  for (let wave = 0; wave < waves; wave++) {
    const answers = await Promise.all(cluster.callerAddresses().map(async address => await fetch(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${sample.stylist.key}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: sample.model, max_tokens: 1, messages: [{ role: 'user', content: 'slot' }] })
    })))
    for (const answer of answers) {
      await answer.text()
      if (answer.ok) {
        admitted += 1
      } else {
        assert.equal(answer.status, 429)
        assert.equal(answer.headers.get('x-arbutus-run'), 'not-run')
        assert.ok(Number(answer.headers.get('retry-after-ms')) > 0)
      }
    }
  }
  return { admitted, seconds: (Date.now() - startedAt) / millisecondsPerSecond }
}

/** What the plan lets through in the time: its rate, its burst, and one request that each entry's bucket holds at least. */
function allowed ({ seconds }: Admitted): number {
  return requestsPerSecond * (seconds + burstSeconds) + entries
}

testOnCluster('a client\'s limits hold across entries, with the owner of its limits and without', { entries, schedulers: 2 }, async ({ cluster }) => {
  const { revision } = planOf(await usageAt(cluster.operatorAddress()))
  assert.equal(await editPlan(cluster.operatorAddress(), revision, requestsPerMinute), 200)
  await until('every entry has the limit', async () => {
    const lists = await Promise.all(cluster.of(MemberKind.Entry).map(async entry => await usageAt(entry.addresses['operator'] ?? '')))
    return lists.every(list => planOf(list).body.includes(`= ${requestsPerMinute}\n`))
  })
  const owned = await flood(cluster)
  assert.ok(owned.admitted > 0)
  assert.ok(owned.admitted <= allowed(owned), `${owned.admitted} were admitted in ${owned.seconds} s`)
  for (const scheduler of cluster.of(MemberKind.Scheduler)) {
    await scheduler.kill()
  }
  const alone = await flood(cluster)
  assert.ok(alone.admitted <= allowed(alone), `${alone.admitted} were admitted in ${alone.seconds} s without an owner`)
})
