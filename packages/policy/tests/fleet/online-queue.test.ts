/** Tests of the order in which waiting online requests are served, without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { OnlineQueue } from '../../src/fleet/online-queue.js'
import type { SlotRequest } from '../../src/index.js'
import { PreviousOnlineQueue } from '../util/previous-online-queue.js'
import { callerOf, onlineRequest, randomNumbers } from '../util/waiting-requests.js'

const seed = Number(process.env['FAST_CHECK_SEED'] ?? 20_261_206)
const stream = { softwareVersion: 'v1', target: 'gone', born: 1 }
const perRequest = 10

function permitsOf (queue: OnlineQueue, now: number): string[] {
  return [...queue.inOrder(now)].map(({ request }) => request.permit)
}

/** Returns a queue to which the requests were added at time 0. */
function queueOf (requests: readonly SlotRequest[], now = 0): OnlineQueue {
  const queue = new OnlineQueue()
  requests.forEach(request => { queue.add(request, now) })
  return queue
}

/** Serves the first waiting request until none waits, and returns the permits. */
function serveAll (queue: OnlineQueue, now: number): string[] {
  const served: string[] = []
  for (let [first] = queue.inOrder(now); first !== undefined; [first] = queue.inOrder(now)) {
    const { request } = first
    queue.recordGranted(request, now)
    queue.remove(entry => entry.request === request)
    served.push(request.permit)
  }
  return served
}

/** Uses up what an account is owed, so that rank and share alone decide on its next requests. */
function serveBefore (queue: OnlineQueue, request: SlotRequest, now: number): void {
  queue.recordAsked(request, now)
  queue.recordGranted(request, now)
}

describe('an online queue without client accounts', () => {
  it('orders, counts, displaces and expires as before on random calls, so that deployments without accounts see no change', () => {
    for (let play = 0; play < 20; play += 1) {
      const random = randomNumbers(seed + play)
      const [queue, previous] = [new OnlineQueue(), new PreviousOnlineQueue()]
      let now = 0
      for (let step = 0; step < 500; step += 1) {
        now += Math.floor(random() * 40)
        const spent = random() < 0.3 ? Math.floor(random() * 900) : 0
        const request = onlineRequest(`p${step}`, { holder: `h${Math.floor(random() * 3)}`, patience: 50 + Math.floor(random() * 500), spent, continues: random() < 0.1 ? stream : null })
        const chance = random()
        queue.recordAsked(request, now)
        assert.equal(queue.aheadOf(request, now).count, previous.countAhead(now - spent, now))
        if (chance < 0.6) {
          queue.add(request, now)
          previous.add(request, now)
          const displaced = queue.mayDisplace(request) ? queue.removeDisplaced(request, now, perRequest) : null
          assert.deepEqual(displaced?.request, spent > 0 ? previous.removeDisplaced(now, perRequest)?.request : undefined)
        } else if (chance < 0.9) {
          const served = previous.inOrder(now)[0]?.request
          assert.deepEqual([...queue.inOrder(now)][0]?.request, served)
          if (served !== undefined) {
            queue.recordGranted(served, now)
            queue.remove(entry => entry.request.permit === served.permit)
            previous.remove(entry => entry.request.permit === served.permit)
          }
        } else {
          assert.deepEqual(queue.removeExpired(now).map(entry => [entry.request, entry.ahead]), previous.removeExpired(now).map(entry => [entry.request, null]))
        }
        assert.deepEqual(permitsOf(queue, now), previous.inOrder(now).map(entry => entry.request.permit))
        assert.deepEqual([queue.length, queue.versions, queue.countOf('h1')], [previous.length, previous.versions, previous.countOf('h1')])
      }
    }
  })
})

describe('an online queue with client accounts', () => {
  it('serves higher ranks first, and the requests of an account by the time of their first attempts', () => {
    const queue = queueOf([
      onlineRequest('low', callerOf('a', 2)),
      onlineRequest('middle', callerOf('b', 1)),
      onlineRequest('high', callerOf('c', 0)),
      onlineRequest('returned', { ...callerOf('c', 0), spent: 100 })
    ])
    assert.deepEqual(permitsOf(queue, 0), ['returned', 'high', 'middle', 'low'])
  })

  it('serves accounts of one rank in turn by tokens, so that many or long requests of one do not delay the others', () => {
    const queue = queueOf([
      ...['l1', 'l2', 'l3', 'l4'].map(permit => onlineRequest(permit, callerOf('large', 0, 100))),
      ...['s1', 's2'].map(permit => onlineRequest(permit, callerOf('small', 0, 100))),
      ...['t1', 't2', 't3', 't4'].map(permit => onlineRequest(permit, callerOf('tiny', 0, 50)))
    ])
    const expected = ['l1', 's1', 't1', 't2', 'l2', 's2', 't3', 't4', 'l3', 'l4']
    assert.deepEqual(permitsOf(queue, 0), expected)
    assert.deepEqual(serveAll(queue, 0), expected)
  })

  it('lets an account that has not asked start at the virtual time, with neither credit nor debt for the time before', () => {
    const queue = queueOf(Array.from({ length: 6 }, (_, index) => onlineRequest(`l${index}`, callerOf('large'))))
    for (let index = 0; index < 4; index += 1) {
      const [first] = queue.inOrder(0)
      assert.ok(first !== undefined)
      queue.recordGranted(first.request, 0)
      queue.remove(entry => entry === first)
    }
    ;['s1', 's2', 's3'].forEach(permit => { queue.add(onlineRequest(permit, callerOf('small')), 1) })
    assert.deepEqual(permitsOf(queue, 1), ['s1', 'l4', 's2', 'l5', 's3'])
  })

  it('keeps the classes: streams that go on first, then requests in time, then late ones, whatever their ranks', () => {
    const queue = queueOf([
      onlineRequest('late', { ...callerOf('a', 0), patience: 10 }),
      onlineRequest('late-low', { ...callerOf('c', 3), patience: 10 }),
      onlineRequest('timely', callerOf('a', 1)),
      onlineRequest('stream', { ...callerOf('b', 2), continues: stream })
    ])
    assert.deepEqual(permitsOf(queue, 50), ['stream', 'timely', 'late', 'late-low'])
  })

  it('serves an account that is owed a request before higher ranks, and only as many of its requests as it is owed', () => {
    const queue = new OnlineQueue()
    // The others are served all of theirs, so that each request adds about a third to what the account is owed.
    for (let index = 0; index < 20; index += 1) {
      serveBefore(queue, onlineRequest(`h${index}`, callerOf('high', 0)), 0)
    }
    queue.add(onlineRequest('high', callerOf('high', 0)), 0)
    ;['w1', 'w2', 'w3', 'w4'].forEach(permit => {
      queue.recordAsked(onlineRequest(permit, callerOf('low', 5)), 0)
      queue.add(onlineRequest(permit, callerOf('low', 5)), 0)
    })
    assert.deepEqual(permitsOf(queue, 0), ['w1', 'w2', 'high', 'w3', 'w4'])
  })

  it('counts as many requests ahead of a new one as its place in the order says, so that the expected wait follows from it', () => {
    for (let play = 0; play < 30; play += 1) {
      const random = randomNumbers(seed + play)
      const queue = new OnlineQueue()
      for (let step = 0; step < 120; step += 1) {
        const now = step * 5
        const request = onlineRequest(`p${step}`, {
          ...callerOf(`a${Math.floor(random() * 6)}`, Math.floor(random() * 3), 1 + Math.floor(random() * 40)), patience: 200, spent: random() < 0.2 ? 100 : 0, continues: random() < 0.05 ? stream : null
        })
        queue.recordAsked(request, now)
        if (request.continues === null) {
          const { count } = queue.aheadOf(request, now)
          queue.add(request, now)
          assert.equal(permitsOf(queue, now).indexOf(request.permit), count, `play ${play}, step ${step}`)
        } else {
          queue.add(request, now)
        }
        if (random() < 0.5) {
          const [first] = queue.inOrder(now)
          assert.ok(first !== undefined)
          queue.recordGranted(first.request, now)
          queue.remove(entry => entry === first)
        }
      }
    }
  })

  it('displaces the request that is served last in time, never the one that has just come', () => {
    const requests = [onlineRequest('low', callerOf('a', 2)), ...Array.from({ length: 5 }, (_, index) => onlineRequest(`m${index}`, callerOf('b', 1)))]
    const queue = queueOf(requests.map(request => ({ ...request, patience: 60 })))
    const added = { ...onlineRequest('high', callerOf('c', 0)), patience: 60 }
    queue.add(added, 1)
    assert.equal(queue.mayDisplace(added), true)
    assert.equal(queue.removeDisplaced(added, 1, 5), null)
    const removed = queue.removeDisplaced(added, 1, perRequest)
    assert.deepEqual([removed?.request.permit, removed?.ahead], ['low', { count: 6, whateverShare: 6, whateverRank: 0 }])
    const last = { ...onlineRequest('last', callerOf('d', 3)), patience: 60 }
    queue.add(last, 1)
    assert.equal(queue.removeDisplaced(last, 1, perRequest), null)
  })

  it('charges a new owner the slots that holders report, so that an account with many slots does not come first again', () => {
    const queue = new OnlineQueue()
    const held = { target: 't', due: 0, ran: 0, workClass: WorkClass.Online }
    queue.recordHeld([
      ...['x', 'y'].map(permit => ({ ...held, permit, account: 'large', tokens: 2 })),
      { ...held, permit: 'item', workClass: WorkClass.Batch, account: 'small', tokens: 100 },
      { ...held, permit: 'unknown' }
    ])
    ;['l1', 'l2'].forEach(permit => { queue.add(onlineRequest(permit, callerOf('large')), 0) })
    ;['s1', 's2', 's3', 's4', 's5'].forEach(permit => { queue.add(onlineRequest(permit, callerOf('small')), 0) })
    assert.deepEqual(permitsOf(queue, 0), ['s1', 's2', 's3', 's4', 'l1', 's5', 'l2'])
  })

  it('serves requests whose rank, tokens or caller are malformed or absent, as holders of other builds may send them', () => {
    const queue = queueOf([
      onlineRequest('no-rank', callerOf('a', NaN, NaN)),
      onlineRequest('high', callerOf('b', 1, -5)),
      onlineRequest('no-caller')
    ])
    assert.deepEqual(serveAll(queue, 0), ['no-caller', 'high', 'no-rank'])
  })

  it('orders as before again once no request of an account waits', () => {
    const queue = queueOf([onlineRequest('a', callerOf('a')), onlineRequest('b', { ...callerOf('a'), spent: 10 })])
    queue.remove(() => true)
    queue.add(onlineRequest('c'), 0)
    queue.add(onlineRequest('d', { spent: 10 }), 0)
    assert.deepEqual(permitsOf(queue, 0), ['d', 'c'])
  })
})
