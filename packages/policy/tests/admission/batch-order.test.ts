import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BatchOrder } from '../../src/admission/batch-order.js'

const cost = { promptTokens: 10, completionTokens: 10 }
const hourMilliseconds = 3_600_000

void describe('BatchOrder', () => {
  void it('selects the lowest slack class first', () => {
    const order = new BatchOrder()
    assert.equal(order.next([{ client: 'a', slack: 24 * hourMilliseconds, cost, weight: 1 }, { client: 'b', slack: -1, cost, weight: 1 }]), 1)
  })

  void it('shares a slack class evenly among clients, however many requests each has', () => {
    const order = new BatchOrder()
    const requests = [
      ...Array.from({ length: 9 }, () => ({ client: 'many', slack: hourMilliseconds, cost, weight: 1 })),
      { client: 'few', slack: hourMilliseconds, cost, weight: 1 }
    ]
    const served = { many: 0, few: 0 }
    for (let round = 0; round < 20; round++) {
      const next = requests[order.next(requests)]
      assert.ok(next)
      served[next.client as keyof typeof served] += 1
      order.onGranted(next)
    }
    assert.deepEqual(served, { many: 10, few: 10 })
  })

  void it('grants a client with three times the weight three times the work', () => {
    const order = new BatchOrder()
    const requests = [
      { client: 'light', slack: hourMilliseconds, cost, weight: 1 },
      { client: 'heavy', slack: hourMilliseconds, cost, weight: 3 }
    ]
    const served = { light: 0, heavy: 0 }
    for (let round = 0; round < 40; round++) {
      const next = requests[order.next(requests)]
      assert.ok(next)
      served[next.client as keyof typeof served] += 1
      order.onGranted(next)
    }
    assert.deepEqual(served, { light: 10, heavy: 30 })
  })

  void it('returns -1 without requests', () => {
    assert.equal(new BatchOrder().next([]), -1)
  })
})
