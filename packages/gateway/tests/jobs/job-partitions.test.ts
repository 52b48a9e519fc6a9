/** Tests that partitions follow the members, over an in-memory network with mocked timers. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { Membership, MemberState } from '../../src/index.js'
import { JobPartitions } from '../../src/jobs/job-partitions.js'
import { FaultyLog } from '../util/faulty-topic.js'
import { LoopbackNetwork } from '../util/loopback-transport.js'
import { createTestLogger } from '../util/test-logger.js'

describe('JobPartitions', () => {
  let membership: Membership
  let partitions: JobPartitions
  let taken: number[]

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date', 'setTimeout', 'setInterval'], now: 1_000_000 })
    const logger = createTestLogger()
    membership = new Membership(new LoopbackNetwork().join('10.0.0.1'), { zone: 'a', incarnation: 1, capacity: 1_000, seeds: [] }, logger)
    partitions = new JobPartitions({ count: 4, openTopic: () => new FaultyLog(() => 0.5).connect(), membership, logger })
    taken = []
    partitions.onActiveChange((partition, isActive) => {
      if (isActive) {
        taken.push(partition.number)
      }
    })
  })

  afterEach(() => {
    partitions.close()
    membership.close()
    mock.timers.reset()
  })

  it('takes the partitions of a member that is ready', () => {
    membership.setState(MemberState.Ready)
    mock.timers.tick(5_000)
    assert.deepEqual(taken, [0, 1, 2, 3])
  })

  it('takes no partition when the members change after it was closed', () => {
    partitions.close()
    membership.setState(MemberState.Ready)
    mock.timers.tick(5_000)
    assert.deepEqual(taken, [])
  })
})
