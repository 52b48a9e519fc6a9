/** Tests probes of members whose timers fire late, with mocked timers: one tick over a longer time holds the process up. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { FailureDetector } from '../../src/peers/failure-detector.js'
import { LocalHealth } from '../../src/peers/local-health.js'

const address = '10.0.0.2'
/** Longer than the time for a response and the lateness that is tolerated. */
const heldUpMilliseconds = 300

describe('FailureDetector', () => {
  let pings: number[]
  let unresponsive: string[]
  let detector: FailureDetector

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date', 'setTimeout'], now: 1_000_000 })
    pings = []
    unresponsive = []
    detector = new FailureDetector({
      health: new LocalHealth(),
      sendPing: (_, sequence) => { pings.push(sequence) },
      sendPingRequest: () => {},
      chooseHelpers: () => [],
      onOverdue: () => {},
      onUnresponsive: address => { unresponsive.push(address) }
    })
  })

  afterEach(() => {
    detector.close()
    mock.timers.reset()
  })

  function advance (milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += 1) {
      mock.timers.tick(1)
    }
  }

  it('reports a member that does not respond, after a second ping', () => {
    detector.probe(address)
    advance(2_000)
    assert.deepEqual(pings, [1, 1])
    assert.deepEqual(unresponsive, [address])
  })

  it('still reports it if the process was held up', () => {
    detector.probe(address)
    mock.timers.tick(heldUpMilliseconds)
    assert.deepEqual(pings, [1])
    advance(2_000)
    assert.deepEqual(unresponsive, [address])
  })

  it('does not report a member whose response is read after the process was held up', () => {
    detector.probe(address)
    mock.timers.tick(heldUpMilliseconds)
    detector.onAck(1)
    advance(2_000)
    assert.deepEqual(pings, [1])
    assert.deepEqual(unresponsive, [])
    assert.equal(detector.pending, 0)
  })

  it('does not end a later probe of a member for an earlier one that has ended', () => {
    detector.probe(address)
    mock.timers.tick(heldUpMilliseconds)
    detector.onAck(1)
    detector.probe(address)
    advance(100)
    assert.equal(detector.pending, 1)
    detector.onAck(2)
    advance(2_000)
    assert.deepEqual(unresponsive, [])
  })

  it('sends nothing after it was closed while the process was held up', () => {
    detector.probe(address)
    mock.timers.tick(heldUpMilliseconds)
    detector.close()
    advance(2_000)
    assert.deepEqual(pings, [1])
    assert.deepEqual(unresponsive, [])
  })
})
