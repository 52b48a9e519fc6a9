/** Tests what batch work leaves free for steps of online load, without a network or a clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WorkClass } from '@arbutusloft/protocol'
import { BatchQueue } from '../../src/fleet/batch-queue.js'
import { BatchRoom } from '../../src/fleet/batch-room.js'
import { FleetAdmission } from '../../src/index.js'
import { itemRequest, randomNumbers } from '../util/waiting-requests.js'

const seed = Number(process.env['FAST_CHECK_SEED'] ?? 20_261_206)
const slots = 312
const minimum = 2
const demand = { slots, minimum, hasUrgent: () => false }
const cycleMilliseconds = 6_600
const lowMilliseconds = 3_800

/** Online load of the first deployment: 146 slots on average, in steps. */
function stepsAt (now: number): number {
  return now % cycleMilliseconds < lowMilliseconds ? 55 : 269
}

/** Observes a load each 50 ms until a time; the queue of items is empty throughout unless `waiting` says otherwise. */
function observe (room: BatchRoom, loadAt: (now: number) => number, until: number, from = 0, waiting = 0): void {
  for (let now = from; now <= until; now += 50) {
    room.observe(now, waiting, () => loadAt(now))
  }
}

describe('the room for steps of online load', () => {
  it('is a standard deviation of the upper step, and a tenth of the rise before it (guards against items that are cut by each fluctuation)', () => {
    const room = new BatchRoom()
    observe(room, stepsAt, 32_700)
    assert.equal(room.slotsLeft(32_700, demand), 16)
    observe(room, stepsAt, 34_200, 32_750)
    assert.equal(room.slotsLeft(34_200, demand), 21)
    assert.equal(room.current, 19)
  })

  it('is none before steps were observed for three cycles (guards against a new owner that takes its first requests for a step)', () => {
    const room = new BatchRoom()
    observe(room, stepsAt, 16_000)
    assert.equal(room.slotsLeft(16_000, demand), minimum)
  })

  it('is none under a steady load with noise (guards against slots left idle for steps that never come)', () => {
    for (const mean of [4, 24, 146]) {
      const random = randomNumbers(seed)
      // Arrivals and holding times as random as in a queue without a limit: each request ends within 50 ms with a chance of 0.06.
      let load = mean
      const loadAt = (): number => {
        let [left, arrived] = [0, 0]
        for (let index = 0; index < load; index += 1) {
          left += random() < 0.06 ? 1 : 0
        }
        for (let index = 0; index < mean * 10; index += 1) {
          arrived += random() < 0.006 ? 1 : 0
        }
        load += arrived - left
        return load
      }
      const room = new BatchRoom()
      for (let now = 0; now < 300_000; now += 50) {
        room.observe(now, 0, loadAt)
        assert.equal(room.slotsLeft(now, demand), minimum, `mean ${mean} at ${now}`)
      }
    }
  })

  it('is none while an item waits that would be late otherwise, nor with a backlog (guards against late items)', () => {
    const room = new BatchRoom()
    observe(room, stepsAt, 32_700)
    assert.equal(room.slotsLeft(32_700, { ...demand, hasUrgent: milliseconds => milliseconds >= 6_000 }), minimum)
    observe(room, stepsAt, 37_200, 32_750, 40)
    assert.ok(room.slotsLeft(37_200, demand) > minimum)
    observe(room, stepsAt, 39_200, 37_250, 40)
    assert.equal(room.slotsLeft(39_200, demand), minimum)
  })

  it('is none if upper steps are beyond all slots, which take the slots of batch work anyway', () => {
    const room = new BatchRoom()
    observe(room, stepsAt, 32_700)
    assert.equal(room.slotsLeft(32_700, { ...demand, slots: 260 }), minimum)
  })

  it('begins anew after the clock was set back, and after it has stood still (guards against decisions from loads of another time)', () => {
    for (const later of [1_000, 90_000]) {
      const room = new BatchRoom()
      observe(room, stepsAt, 32_700)
      room.observe(later, 0, () => 269)
      assert.equal(room.slotsLeft(later, demand), minimum)
      observe(room, now => stepsAt(now - later), later + 32_700, later + 50)
      assert.ok(room.slotsLeft(later + 32_700, demand) > minimum)
    }
  })

  it('knows an item as urgent only until it cannot be in time any more (guards against lost items that end the room for good)', () => {
    const queue = new BatchQueue()
    queue.recordFinished(5_000, 5_000)
    queue.add(itemRequest('p', { due: 18_000 }))
    assert.deepEqual([0, 6_000, 8_000, 13_000, 14_000].map(now => queue.hasUrgent(now, 6_000)), [false, false, true, true, false])
  })
})

describe('admission control with steps of online load', () => {
  it('leaves slots free after five cycles, and grants all but the minimum to items before', () => {
    const target = { id: 't', address: 't', zone: 'a', slots, born: 1, softwareVersion: 'v1', leaving: false, accepting: true }
    const admission = new FleetAdmission()
    admission.setTargets([target], 0)
    const freeWith = (now: number): number => {
      const grants = Array.from({ length: slots }, (_, index) => admission.request(itemRequest(`item-${now}-${index}`, { due: now + 18_000 }), now)).flat()
      const { online, batch } = admission.load()
      grants.forEach(({ permit }) => { admission.release(permit, 'stopped', now) })
      for (let index = 0; index < slots; index += 1) {
        admission.withdraw(`item-${now}-${index}`)
      }
      return slots - online - batch
    }
    assert.equal(freeWith(0), minimum)
    const online = (index: number): string => `online-${index}`
    let held = 0
    for (let now = 0; now <= 32_700; now += 50) {
      for (; held < stepsAt(now); held += 1) {
        admission.request({ ...itemRequest(online(held)), workClass: WorkClass.Online, patience: 200, due: 0 }, now)
      }
      for (; held > stepsAt(now); held -= 1) {
        admission.release(online(held - 1), 'finished', now)
      }
      admission.tick(now)
    }
    assert.equal(admission.batchRoom.current, 0)
    assert.equal(freeWith(32_700), 16)
  })
})
