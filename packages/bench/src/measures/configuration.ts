/** Measures the time until a configuration edit is in force on every entry, while one entry cannot reach the log. */
import { sample, sleep, startCluster } from '@arbutusloft/development'
import { MemberKind } from '@arbutusloft/adapters'
import { computeDistribution, formatDistribution } from '../util/distribution.js'
import type { Measurement } from './measure.js'

const instanceCount = 12
const editCount = 15
const pollMilliseconds = 5
const timeoutMilliseconds = 30_000
const headers = { authorization: `Bearer ${sample.operator.key}` }

/** Compares the time on entries that reach the log with that on an entry that does not. */
export const configurationMeasurement: Measurement = {
  name: 'configuration',
  description: `time until an edit is in force on ${instanceCount} entries, one of them cut off from the log`,
  run: async print => {
    const cluster = await startCluster({ entries: instanceCount, schedulers: instanceCount, batches: instanceCount, engines: 2, limits: { 'instance-list-milliseconds': 500 } })
    try {
      const addresses = cluster.processesOfKind(MemberKind.Entry).map(entry => entry.addresses['operator'] ?? '')
      const isolatedEntry = cluster.processesOfKind(MemberKind.Entry).at(-1)
      // The last address is that of the isolated entry. blackhole() stops its open connections, setRefusing() new ones.
      isolatedEntry?.logProxy.blackhole()
      isolatedEntry?.logProxy.setRefusing(true)
      const connectedTimes: number[] = []
      const isolatedTimes: number[] = []
      for (let index = 0; index < editCount; index++) {
        const times = await editAndWait(addresses, index)
        connectedTimes.push(...times.slice(0, -1))
        isolatedTimes.push(times.at(-1) ?? 0)
      }
      print(`entries that reach the log: ${formatDistribution(computeDistribution(connectedTimes))}`)
      print(`the entry that does not:    ${formatDistribution(computeDistribution(isolatedTimes))}`)
      // In the report, `reached` holds the times of entries that reach the log and `cutOff` those of the isolated entry.
      return { reached: computeDistribution(connectedTimes), cutOff: computeDistribution(isolatedTimes) }
    } finally {
      await cluster.close()
    }
  }
}

/**
 * Publishes an edit and returns the time in milliseconds until it is in force on each entry, in the order of the
 * addresses.
 * @throws {Error} if the edit is rejected or is not in force on an entry in time
 */
async function editAndWait (addresses: readonly string[], index: number): Promise<readonly number[]> {
  const firstAddress = addresses[0] ?? ''
  const current = await fetch(`http://${firstAddress}/admin/lists/usage`, { headers })
  const text = (await current.text()).replace(/requests-per-minute = \d+/, `requests-per-minute = ${5_000_000 + index}`)
  const startedAt = performance.now()
  const response = await fetch(`http://${firstAddress}/admin/lists/usage`, {
    method: 'PUT',
    headers: { ...headers, 'if-match': current.headers.get('etag') ?? '' },
    body: text
  })
  const answer = await response.json() as { readonly revision?: number }
  const { revision } = answer
  if (revision === undefined) {
    throw new Error(`the edit of list 'usage' was rejected with status ${response.status}: ${JSON.stringify(answer)}`)
  }
  return await Promise.all(addresses.map(async address => await waitForRevision(address, revision, startedAt)))
}

async function waitForRevision (address: string, revision: number, startedAt: number): Promise<number> {
  while (performance.now() - startedAt < timeoutMilliseconds) {
    // The etag of each list is the revision of the whole configuration, so an edit of one list shows in that of the other.
    const response = await fetch(`http://${address}/admin/lists/plans`, { headers })
    await response.text()
    if (Number(response.headers.get('etag')?.replaceAll('"', '')) >= revision) {
      return performance.now() - startedAt
    }
    await sleep(pollMilliseconds)
  }
  throw new Error(`revision ${revision} was not in force on entry ${address} within ${timeoutMilliseconds} ms`)
}
