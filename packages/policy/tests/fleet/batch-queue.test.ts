/** Tests of the order in which waiting items are served, without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BatchQueue } from '../../src/fleet/batch-queue.js'
import type { SlotRequest } from '../../src/index.js'
import { PreviousBatchQueue } from '../util/previous-batch-queue.js'
import { callerOf, itemRequest, randomNumbers } from '../util/waiting-requests.js'

const seed = Number(process.env['FAST_CHECK_SEED'] ?? 20_261_206)
const stream = { softwareVersion: 'v1', target: 'gone', born: 1 }

function permitsOf (items: readonly SlotRequest[], held: Readonly<Record<string, number>> = {}): string[] {
  const queue = new BatchQueue()
  items.forEach(item => { queue.add(item) })
  return [...queue.inOrder(0, account => held[account] ?? 0)].map(({ permit }) => permit)
}

describe('a batch queue', () => {
  it('orders items without client accounts as before on random calls', () => {
    for (let play = 0; play < 20; play += 1) {
      const random = randomNumbers(seed + play)
      const [queue, previous] = [new BatchQueue(), new PreviousBatchQueue()]
      for (let step = 0; step < 300; step += 1) {
        const now = step * 20
        const item = itemRequest(`p${step}`, { due: now + Math.floor(random() * 8_000), ran: Math.floor(random() * 2_000), continues: random() < 0.2 ? stream : null })
        queue.add(item)
        previous.add(item)
        if (random() < 0.5) {
          const [ran, sinceStart] = [random() * 3_000, random() * 6_000]
          queue.recordFinished(ran, sinceStart)
          previous.recordFinished(ran, sinceStart)
          queue.delete(previous.inOrder(now)[0]?.permit ?? '')
          previous.delete(previous.inOrder(now)[0]?.permit ?? '')
        }
        assert.deepEqual([...queue.inOrder(now, () => { throw new Error('asked for slots of an account') })], previous.inOrder(now))
      }
    }
  })

  it('gives equally urgent items to accounts in turn, the one that holds the fewest slots first, so that one account does not take all slots', () => {
    const items = [
      ...['l1', 'l2', 'l3'].map((permit, index) => itemRequest(permit, { ...callerOf('large'), due: 20_000 + index })),
      ...['s1', 's2', 's3'].map((permit, index) => itemRequest(permit, { ...callerOf('small'), due: 21_000 + index }))
    ]
    assert.deepEqual(permitsOf(items), ['l1', 's1', 'l2', 's2', 'l3', 's3'])
    assert.deepEqual(permitsOf(items, { large: 2 }), ['s1', 's2', 'l1', 's3', 'l2', 'l3'])
  })

  it('keeps the order of deadlines between items of different urgency, whatever their accounts hold', () => {
    const items = [
      itemRequest('later', { ...callerOf('small'), due: 22_000 }),
      itemRequest('sooner', { ...callerOf('large'), due: 21_999 }),
      itemRequest('stream', { ...callerOf('large'), due: 23_000, continues: stream })
    ]
    assert.deepEqual(permitsOf(items, { large: 5 }), ['stream', 'sooner', 'later'])
  })

  it('counts items without an account as those of one account', () => {
    assert.deepEqual(permitsOf([itemRequest('n1'), itemRequest('n2'), itemRequest('a', callerOf('a'))]), ['n1', 'a', 'n2'])
  })
})
