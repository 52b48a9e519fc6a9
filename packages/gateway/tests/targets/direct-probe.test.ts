import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { TargetPaths } from '@arbutusloft/policy'
import { DirectProbe } from '../../src/targets/direct-probe.js'
import { TargetRegistry, TargetState } from '../../src/targets/target-registry.js'
import type { Target } from '../../src/targets/target-registry.js'
import { sleep } from '../../src/util/sleep.js'

const target = { service: 's', zone: 'a', slots: 1, state: TargetState.Ready, born: 1, softwareVersion: 'v1' }
/** More than two intervals between attempts. */
const waitMilliseconds = 1_300

/** Returns paths of an instance that reaches the targets through peers only. */
function cutOffPaths (targets: readonly Target[]): TargetPaths {
  const paths = new TargetPaths()
  for (const { id } of targets) {
    paths.recordDirectFailure(id, targets.length, Date.now())
    paths.recordRelaySuccess(id, targets.length, Date.now())
  }
  return paths
}

describe('DirectProbe', () => {
  it('finds that targets can be reached directly again although no request is sent', async context => {
    let connections = 0
    const server = createServer(socket => {
      connections += 1
      socket.resume()
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const targets = ['t1', 't2'].map(id => ({ ...target, id, address }))
    const registry = new TargetRegistry()
    registry.replace(targets)
    const paths = new TargetPaths()
    const probe = new DirectProbe(paths, registry)
    context.after(() => {
      probe.close()
      server.close()
    })
    await sleep(waitMilliseconds)
    assert.equal(connections, 0)
    for (const { id } of targets) {
      paths.recordDirectFailure(id, targets.length, Date.now())
      paths.recordRelaySuccess(id, targets.length, Date.now())
    }
    assert.ok(paths.isCutOff)
    await sleep(waitMilliseconds)
    assert.deepEqual([paths.isCutOff, connections], [false, 1])
  })

  it('goes on for as long as no target can be reached, and stops when it is closed', async () => {
    const targets = ['t1', 't2'].map(id => ({ ...target, id, address: '127.0.0.1:1' }))
    const registry = new TargetRegistry()
    registry.replace(targets)
    const paths = cutOffPaths(targets)
    const probe = new DirectProbe(paths, registry)
    await sleep(waitMilliseconds)
    assert.ok(paths.isCutOff)
    probe.close()
  })
})
