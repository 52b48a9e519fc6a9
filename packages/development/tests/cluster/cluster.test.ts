import { equal, rejects } from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { MemberKind } from '@arbutusloft/adapters'
import { sleep } from '../../src/cluster/wait-until.js'
import { startCluster } from '../../src/cluster/cluster.js'
import type { Cluster, RoleProcess } from '../../src/cluster/cluster.js'

function isAlive (pid: number): boolean {
  try {
    return process.kill(pid, 0)
  } catch {
    return false
  }
}

describe('Cluster', () => {
  let cluster: Cluster
  let batch: RoleProcess

  before(async () => {
    cluster = await startCluster({ batches: 2 })
    batch = cluster.processesOfKind(MemberKind.Batch)[1] as RoleProcess
  })

  after(async () => { await cluster.close() })

  it('resolves a restart with false if the process is killed meanwhile', async () => {
    await batch.kill()
    const restarted = batch.restart()
    while (!batch.running) {
      await sleep(1)
    }
    await batch.kill()
    equal(await restarted, false)
    equal(await batch.restart(), true)
  })

  it('starts one process if two restarts overlap', async () => {
    await batch.kill()
    const first = batch.restart()
    while (!batch.running) {
      await sleep(1)
    }
    const startedPid = batch.pid
    equal(await batch.restart(), true)
    equal(await first, true)
    equal(batch.pid, startedPid)
    // A second start would replace the handle of the first process, which nothing could then end.
    equal(isAlive(startedPid), true)
  })

  it('does not restart a process that is running', async () => {
    const { pid } = batch
    equal(await batch.restart(), true)
    equal(batch.pid, pid)
  })

  it('rejects if a process ends by itself during its start', async () => {
    await rejects(startCluster({ limits: { 'no-such-limit': 1 } }), { name: 'StartEndedError' })
  })
})
