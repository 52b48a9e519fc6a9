import assert from 'node:assert/strict'
import { sample, sleep, waitUntil } from '@arbutusloft/development'
import { MemberKind } from '@arbutusloft/adapters'
import { checkRevisions } from '../checkers/check-revisions.js'
import type { ObservedRevision } from '../checkers/check-revisions.js'
import type { Cluster } from '@arbutusloft/development'
import { editPlan, operatorHeaders, findSamplePlan, fetchUsageList } from '../harness/plan-editor.js'
import { testOnCluster } from '../harness/test-on-cluster.js'

function operatorAddresses (cluster: Cluster): readonly string[] {
  return cluster.processesOfKind(MemberKind.Entry).filter(entry => entry.running).map(entry => entry.addresses['operator'] ?? '')
}

testOnCluster('of racing operators one wins everywhere, and the others are refused and audited', { entries: 3 }, async ({ cluster }) => {
  const addresses = operatorAddresses(cluster)
  const { revision } = findSamplePlan(await fetchUsageList(addresses[0] ?? ''))
  const statuses = await Promise.all(addresses.map(async (address, index) => await editPlan(address, revision, 7_000 + index)))
  assert.deepEqual([...statuses].sort(), [200, 409, 409])
  const acceptedRate = 7_000 + statuses.indexOf(200)
  for (const address of addresses) {
    await waitUntil('the accepted edit is in force', async () => findSamplePlan(await fetchUsageList(address)).body.includes(`= ${acceptedRate}\n`))
    // Rejections are appended after the accepted edit, so they may reach the other entries later than it.
    await waitUntil('both rejections are audited', async () => await countRejections(address) >= 2)
    assert.equal(await countRejections(address), 2)
  }
})

/** Returns the number of rejected edits in an entry's audit trail. */
async function countRejections (address: string): Promise<number> {
  const response = await fetch(`http://${address}/admin/audit`, { headers: operatorHeaders })
  const { entries } = await response.json() as { readonly entries: ReadonlyArray<{ readonly refusal: string | null }> }
  return entries.filter(entry => entry.refusal !== null).length
}

testOnCluster('a process whose log connection is unresponsive receives an edit from its peers', { entries: 2, schedulers: 2 }, async ({ cluster }) => {
  const [disconnected, other] = cluster.processesOfKind(MemberKind.Entry)
  disconnected?.logProxy.blackhole()
  disconnected?.logProxy.setRefusing(true)
  const { revision } = findSamplePlan(await fetchUsageList(other?.addresses['operator'] ?? ''))
  assert.equal(await editPlan(other?.addresses['operator'] ?? '', revision, 7_777), 200)
  await waitUntil('the entry without a log connection has the edit', async () => {
    return findSamplePlan(await fetchUsageList(disconnected?.addresses['operator'] ?? '')).body.includes('= 7777\n')
  })
})

testOnCluster('a process started while the log is down serves with its peers\' configuration', { entries: 2, schedulers: 2 }, async ({ cluster, caller, history }) => {
  const { revision } = findSamplePlan(await fetchUsageList(cluster.operatorAddress()))
  assert.equal(await editPlan(cluster.operatorAddress(), revision, 7_777), 200)
  const [first] = cluster.processesOfKind(MemberKind.Entry)
  await first?.kill()
  cluster.log.setFaults({ outage: true })
  await first?.start()
  await waitUntil('the restarted entry serves requests', async () => {
    const response = await fetch(`http://${first?.addresses['caller'] ?? ''}/v1/models`, { headers: { authorization: `Bearer ${sample.stylist.key}` } })
    await response.text()
    return response.ok
  })
  assert.ok(findSamplePlan(await fetchUsageList(first?.addresses['operator'] ?? '')).body.includes('= 7777\n'))
  await caller.chat('while the log is down', 4, first?.addresses['caller'] ?? '')
  assert.equal(history.events.at(-1)?.outcome?.isComplete, true)
})

testOnCluster('revisions never decrease through edits, lost append responses and restarts', { entries: 3 }, async ({ cluster }) => {
  const observedRevisions: ObservedRevision[] = []
  const observation = { stopped: false }
  const observers = cluster.processesOfKind(MemberKind.Entry).map(async entry => {
    while (!observation.stopped) {
      try {
        const { revision } = await fetchUsageList(entry.addresses['operator'] ?? '')
        observedRevisions.push({ process: entry.memberName, revision, at: Date.now() })
      } catch {
        // The entry is restarting.
      }
      await sleep(10)
    }
  })
  for (let round = 0; round < 6; round++) {
    const address = cluster.operatorAddress()
    const { revision } = findSamplePlan(await fetchUsageList(address))
    cluster.log.setFaults({ loseAnswers: round % 2 })
    await editPlan(address, revision, 8_000 + round)
    const entry = cluster.processesOfKind(MemberKind.Entry)[round % 3]
    await entry?.kill()
    await entry?.restart()
  }
  observation.stopped = true
  await Promise.all(observers)
  const result = checkRevisions(observedRevisions)
  assert.ok(result.checked > 0)
  assert.deepEqual(result.violations, [])
  for (const address of operatorAddresses(cluster)) {
    await waitUntil('the last edit is in force', async () => findSamplePlan(await fetchUsageList(address)).body.includes('= 8005\n'))
  }
})
