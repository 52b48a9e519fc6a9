/** Tests which stored addresses a process takes for those of other processes. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MemberDirectory } from '../../src/peers/member-directory.js'
import type { Membership } from '../../src/peers/membership.js'
import { FaultyLog } from '../util/faulty-topic.js'
import { sleep } from '../../src/util/sleep.js'
import { createTestLogger } from '../util/test-logger.js'

describe('MemberDirectory', () => {
  it('takes no key that is not an IPv4 address for the address of a process', async context => {
    const log = new FaultyLog(() => 0.5)
    await log.connect().append(['', 'host.example', '10.0.0', '10.0.0.256', '10.0.0.2', '::1', 'x'.repeat(200)].map(key => ({ key, value: Buffer.from('a') })), null)
    const seeds: string[] = []
    const membership = { addSeeds: (addresses: Iterable<string>) => { seeds.push(...addresses) }, live: () => [], self: { address: '10.0.0.2', zone: 'a' } }
    const directory = new MemberDirectory(log.connect(), membership as unknown as Membership, createTestLogger())
    context.after(() => { directory.close() })
    directory.start()
    await sleep(200)
    assert.deepEqual(seeds, ['10.0.0.2'])
  })
})
