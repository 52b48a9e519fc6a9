import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RecordType, StreamName } from '@arbutusloft/protocol'
import type { LogRecord } from '@arbutusloft/protocol'
import { FoldedStream, LedgerFold } from '@arbutusloft/state'
import PQueue from 'p-queue'
import { createLogger } from '../../src/create-logger.js'
import { AppendErrorCode } from '../../src/log/append-error.js'
import { LogWriter } from '../../src/log/log-writer.js'
import { FakeLog } from './fake-log.js'

const logger = createLogger({ fields: {}, write: () => {} })

function charge (charge: string): LogRecord {
  return { type: RecordType.Charged, charge, keyed: false, client: 'c', subject: 's', usage: { requests: 1, promptTokens: 0, completionTokens: 0 } }
}

function createWriter (log: FakeLog, maximumPendingBytes?: number): LogWriter {
  return new LogWriter({
    log,
    stream: StreamName.Ledger,
    writer: 'w',
    appendQueue: new PQueue(),
    logger,
    entryBytes: 100_000,
    ...(maximumPendingBytes === undefined ? {} : { maximumPendingBytes })
  })
}

function countCharges (log: FakeLog): number {
  const fold = new LedgerFold()
  const stream = new FoldedStream(fold)
  log.entries(StreamName.Ledger).forEach(entry => { stream.apply(entry, () => {}) })
  return fold.charges.lines('c')[0]?.usage.requests ?? 0
}

void describe('LogWriter', () => {
  void it('appends records that are passed synchronously in one entry', async () => {
    const log = new FakeLog()
    const writer = createWriter(log)
    const results = await Promise.all([writer.append([charge('1')]), writer.append([charge('2')])])
    assert.deepEqual(results.map(result => result.unwrap()), [0, 0])
    assert.equal(log.entries(StreamName.Ledger).length, 1)
    assert.equal(countCharges(log), 2)
  })

  void it('retries an entry whose acknowledgement was lost, and the fold counts it once', async () => {
    const log = new FakeLog()
    log.faults.push('lose-answer', 'rate-limited', 'unavailable')
    const writer = createWriter(log)
    assert.ok((await writer.append([charge('1')])).ok)
    assert.ok((await writer.append([charge('1'), charge('2')])).ok)
    assert.equal(log.entries(StreamName.Ledger).length, 3)
    assert.equal(countCharges(log), 2)
  })

  void it('reports an unknown outcome only for records whose append has begun', async () => {
    const log = new FakeLog()
    log.down = true
    const writer = createWriter(log)
    const begun = writer.append([charge('1')], 30)
    await new Promise(resolve => { setImmediate(resolve) })
    const notBegun = writer.append([charge('2')], 30)
    const codes = [await begun, await notBegun].map(result => result.err ? result.val.code : null)
    assert.deepEqual(codes, [AppendErrorCode.Unknown, AppendErrorCode.NotAppended])
    log.down = false
    assert.ok((await writer.append([charge('3')])).ok)
    assert.equal(countCharges(log), 2)
  })

  void it('rejects records beyond its limit of unacknowledged bytes while the log is down', async () => {
    const log = new FakeLog()
    log.down = true
    const writer = createWriter(log, 200)
    const kept = writer.append([charge('1')])
    const refused = await writer.append(Array.from({ length: 20 }, (_, index) => charge(`x${index}`)))
    assert.ok(refused.err && refused.val.code === AppendErrorCode.NotAppended)
    log.down = false
    assert.ok((await kept).ok)
    assert.equal(writer.backlogBytes, 0)
  })
})
