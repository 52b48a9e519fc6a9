/** Tests when an alarm runs its handler, and that it stays silent once it is closed. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { Alarm } from '../../src/util/alarm.js'

describe('Alarm', () => {
  beforeEach(() => { mock.timers.enable({ apis: ['Date', 'setTimeout'], now: 1_000_000 }) })

  afterEach(() => { mock.timers.reset() })

  it('runs its handler at the earliest of the times, and then at the time that the handler returns', () => {
    const runs: number[] = []
    const alarm = new Alarm(now => {
      runs.push(now - 1_000_000)
      return runs.length === 1 ? now + 50 : Infinity
    })
    alarm.setBy(1_000_300)
    alarm.setBy(1_000_100)
    alarm.setBy(1_000_200)
    for (let passed = 0; passed < 1_000; passed += 1) {
      mock.timers.tick(1)
    }
    assert.deepEqual(runs, [100, 150])
  })

  it('is not armed by work that is still in flight when it is closed', () => {
    let runs = 0
    const alarm = new Alarm(now => {
      runs += 1
      return now + 100
    })
    alarm.close()
    alarm.setBy(1_000_100)
    mock.timers.tick(10_000)
    assert.equal(runs, 0)
  })

  it('is not armed again by a handler that closes it', () => {
    let runs = 0
    const alarm = new Alarm(now => {
      runs += 1
      alarm.close()
      return now + 100
    })
    alarm.setBy(1_000_100)
    mock.timers.tick(200)
    mock.timers.tick(10_000)
    assert.equal(runs, 1)
  })
})
