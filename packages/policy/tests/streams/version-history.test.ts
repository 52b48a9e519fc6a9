/** Tests when it is certain which software version began the streams of a service. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { mergeVersionRecords, streamMemoryMilliseconds, VersionHistory } from '../../src/index.js'

const start = 1_000_000
const later = start + streamMemoryMilliseconds + 1

function historyOf (records: Readonly<Record<string, readonly string[]>>, versions: readonly string[]): VersionHistory {
  const history = new VersionHistory()
  history.restore(new Map(Object.entries(records).map(([service, present]) => [service, { present, departed: {} }])), start)
  history.observe('s', new Set(versions), start)
  return history
}

describe('VersionHistory', () => {
  it('is certain of the only version of a service that had no other before', () => {
    const cases: ReadonlyArray<Readonly<Record<string, readonly string[]>>> = [{}, { s: ['v1'] }, { other: ['v0'] }]
    for (const records of cases) {
      assert.equal(historyOf(records, ['v1']).soleVersion('s', start), 'v1')
    }
  })

  it('is not certain before it knows what there was before, unless it has seen that for long enough itself', () => {
    const history = new VersionHistory()
    history.observe('s', new Set(['v1']), start)
    assert.equal(history.soleVersion('s', start), null)
    assert.equal(history.isMixed('s', start), false)
    assert.equal(history.soleVersion('s', later), 'v1')
    history.restore(new Map([['s', { present: ['v1'], departed: {} }]]), start)
    assert.equal(history.soleVersion('s', start), 'v1')
  })

  it('is not certain while a version of the record may have served until shortly before', () => {
    const history = historyOf({ s: ['v1', 'v1.1'] }, ['v1.1'])
    assert.equal(history.soleVersion('s', start), null)
    assert.ok(history.isMixed('s', start))
    assert.equal(history.soleVersion('s', later), 'v1.1')
  })

  it('is certain of a version again once the others have been gone for longer than streams last, whichever came first', () => {
    const history = historyOf({}, ['v1'])
    history.observe('s', new Set(['v1', 'v1.1', 'v1.2']), later)
    assert.ok(history.isMixed('s', later))
    history.observe('s', new Set(['v1']), later + 5_000)
    assert.equal(history.soleVersion('s', later + 5_000 + streamMemoryMilliseconds - 1), null)
    assert.equal(history.soleVersion('s', later + 5_000 + streamMemoryMilliseconds), 'v1')
  })

  it('is not certain while a version that the record names as departed may have begun streams that are taken up', () => {
    const history = new VersionHistory()
    history.restore(new Map([['s', { present: ['v2'], departed: { v1: start - 8_000 } }]]), start)
    history.observe('s', new Set(['v2']), start)
    // The clock of the process that wrote the record may have been behind.
    const goneAt = start - 8_000 + 2_000 + streamMemoryMilliseconds
    assert.equal(history.soleVersion('s', goneAt - 1), null)
    assert.equal(history.soleVersion('s', goneAt), 'v2')
  })

  it('tells later processes which versions have departed, also those it knows from a record only', () => {
    const history = new VersionHistory()
    history.restore(new Map([['s', { present: ['v2', 'v1'], departed: { v0: start - 5_000 } }]]), start)
    history.observe('s', new Set(['v2']), start)
    assert.deepEqual(history.recordOf('s', start + 1_000), { present: ['v2'], departed: { v1: start, v0: start - 3_000 } })
    assert.deepEqual(history.recordOf('s', later), { present: ['v2'], departed: {} })
  })

  it('keeps in a record what a process that was paused or started later does not know', () => {
    const stored = { present: ['v2'], departed: { v1: start - 1_000, v0: start - streamMemoryMilliseconds } }
    assert.deepEqual(mergeVersionRecords(stored, { present: ['v2'], departed: {} }, start), { present: ['v2'], departed: { v1: start - 1_000 } })
    assert.deepEqual(mergeVersionRecords(stored, { present: ['v1'], departed: {} }, start), { present: ['v1'], departed: { v2: start } })
    assert.deepEqual(mergeVersionRecords(stored, { present: ['v3'], departed: { v2: start - 500, v1: start - 1_500 } }, start), { present: ['v3'], departed: { v1: start - 1_000, v2: start - 500 } })
  })

  it('takes the word of a process that knows of several versions', () => {
    const history = historyOf({}, ['v1'])
    history.markMixed('s', start)
    assert.equal(history.soleVersion('s', start), null)
    assert.equal(history.soleVersion('s', later), 'v1')
  })

  it('keeps the last version of a service that has no target at the moment', () => {
    const history = historyOf({}, ['v1'])
    history.observe('s', new Set(), start + 1)
    assert.equal(history.soleVersion('s', start + 2), 'v1')
  })

  it('tells its listeners once when a service becomes mixed', () => {
    const history = historyOf({}, ['v1'])
    const told: string[] = []
    history.onMixed(service => told.push(service))
    history.observe('s', new Set(['v1', 'v2']), later)
    history.observe('s', new Set(['v1', 'v2', 'v3']), later + 1)
    history.markMixed('s', later + 2)
    assert.deepEqual(told, ['s'])
  })

  it('never names a version while another has served within the time for which streams may be taken up', () => {
    const step = fc.record({ wait: fc.nat(streamMemoryMilliseconds), versions: fc.uniqueArray(fc.constantFrom('v1', 'v2', 'v3'), { maxLength: 3 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 20 }), steps => {
      const history = new VersionHistory()
      history.restore(new Map(), 0)
      const lastServed = new Map<string, number>()
      let present: readonly string[] = []
      let now = start
      for (const { wait, versions } of steps) {
        now += wait
        present.forEach(version => lastServed.set(version, now))
        const recent = [...lastServed].filter(([, at]) => at > now - streamMemoryMilliseconds).map(([version]) => version)
        const sole = history.soleVersion('s', now)
        assert.ok(sole === null || recent.every(version => version === sole), `${sole} of ${recent}`)
        assert.ok(recent.length !== 1 || sole === recent[0], `${recent} is not known to be the only one`)
        history.observe('s', new Set(versions), now)
        present = versions
        present.forEach(version => lastServed.set(version, now))
      }
    }), { seed: 32 })
  })
})
