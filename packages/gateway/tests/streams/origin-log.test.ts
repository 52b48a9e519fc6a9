import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { streamMemoryMilliseconds } from '@arbutusloft/policy'
import { AppendOutcome } from '../../src/log/keyed-topic.js'
import type { KeyedTopic } from '../../src/log/keyed-topic.js'
import { OriginLog } from '../../src/streams/origin-log.js'
import type { LoggedOrigin } from '../../src/streams/origin-log.js'
import { sleep } from '../../src/util/sleep.js'
import { FaultyLog } from '../util/faulty-topic.js'
import { createTestLogger } from '../util/test-logger.js'

const savedMilliseconds = 400

function originAt (index: number, begunAt: number): LoggedOrigin {
  return { attempt: `attempt-${index}`, origin: { service: 's', softwareVersion: 'v1', target: `target-${index}`, born: 1_765_000_000_000 + index }, begunAt }
}

describe('OriginLog', () => {
  it('saves what is added within a moment in one record, and loads it', async () => {
    const log = new FaultyLog(() => 0.5)
    const writer = new OriginLog(log.connect(), '10.0.0.1', createTestLogger())
    const origins = [1, 2, 3].map(index => originAt(index, Date.now()))
    origins.forEach(origin => { writer.add([origin]) })
    await sleep(savedMilliseconds)
    assert.equal(log.records.length, 1)
    assert.deepEqual(await new OriginLog(log.connect(), '10.0.0.2', createTestLogger()).load(), origins)
  })

  it('does not load origins of streams that may no longer be taken up', async () => {
    const log = new FaultyLog(() => 0.5)
    const writer = new OriginLog(log.connect(), '10.0.0.1', createTestLogger())
    const recent = originAt(2, Date.now())
    writer.add([originAt(1, Date.now() - streamMemoryMilliseconds - 1), recent])
    await sleep(savedMilliseconds)
    assert.deepEqual(await writer.load(), [recent])
  })

  it('saves origins again that the store has not taken, together with later ones', async () => {
    const log = new FaultyLog(() => 0.5)
    const connection = log.connect()
    let isRefusing = true
    const topic: KeyedTopic = { ...connection, append: async (records, end) => isRefusing ? AppendOutcome.Refused : await connection.append(records, end) }
    const writer = new OriginLog(topic, '10.0.0.1', createTestLogger())
    const origins = [1, 2].map(index => originAt(index, Date.now()))
    writer.add(origins.slice(0, 1))
    await sleep(savedMilliseconds)
    isRefusing = false
    writer.add(origins.slice(1))
    await sleep(savedMilliseconds)
    assert.deepEqual(await writer.load(), origins)
  })

  it('goes on behind the records of another recorder that began at the same time', async () => {
    const log = new FaultyLog(() => 0.5)
    const writers = ['10.0.0.1', '10.0.0.1'].map(address => new OriginLog(log.connect(), address, createTestLogger()))
    const origins = Array.from({ length: 6 }, (_, index) => originAt(index, Date.now()))
    for (const [index, origin] of origins.entries()) {
      writers[index < 3 ? 0 : 1]?.add([origin])
      await sleep(savedMilliseconds / 2)
    }
    await sleep(savedMilliseconds)
    const loaded = await writers[0]?.load() ?? []
    assert.deepEqual(loaded.map(({ attempt }) => attempt).sort(), origins.map(({ attempt }) => attempt))
  })

  it('leaves the oldest out if the ids of attempts are too long for a record', async () => {
    const log = new FaultyLog(() => 0.5)
    const connection = log.connect()
    const topic: KeyedTopic = { ...connection, append: async (records, end) => records.some(({ value }) => (value?.length ?? 0) > 262_000) ? AppendOutcome.Refused : await connection.append(records, end) }
    const writer = new OriginLog(topic, '10.0.0.1', createTestLogger())
    writer.add(Array.from({ length: 1_500 }, (_, index) => ({ ...originAt(index, Date.now()), attempt: `${index}-${'x'.repeat(300)}` })))
    await sleep(savedMilliseconds)
    const loaded = await writer.load() ?? []
    assert.ok(loaded.length >= 500, `${loaded.length} origins`)
    assert.ok(loaded.some(({ attempt }) => attempt.startsWith('1499-')))
  })

  it('uses a bounded number of keys', async () => {
    const log = new FaultyLog(() => 0.5)
    for (let process = 0; process < 400; process += 1) {
      const writer = new OriginLog(log.connect(), `10.0.0.${process}`, createTestLogger())
      writer.add([originAt(process, Date.now())])
    }
    await sleep(savedMilliseconds)
    assert.ok(new Set(log.records.map(({ key }) => key.split('/')[0])).size <= 4)
    assert.ok(log.records.every(({ key }) => Number(key.split('/')[1]) < 250), log.records.map(({ key }) => key).join())
  })

  it('skips records that it cannot read, with a line in the log', async () => {
    const log = new FaultyLog(() => 0.5)
    const lines: string[] = []
    log.records.push({ key: '0/1', value: Buffer.from('text'), offset: 0 }, { key: '0/2', value: Buffer.from([0x91, 0x01]), offset: 1 })
    assert.deepEqual(await new OriginLog(log.connect(), '10.0.0.1', createTestLogger(lines)).load(), [])
    assert.equal(lines.filter(line => line.includes('origins of streams not readable')).length, 2)
  })
})
