import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { encodeRecordBatch, RecordType, snapshotStreamOf, StreamName } from '@arbutusloft/protocol'
import { LedgerFold, splitSnapshot } from '@arbutusloft/state'
import { createLogger } from '../../src/create-logger.js'
import { StreamFollower } from '../../src/log/stream-follower.js'
import { FakeLog } from './fake-log.js'

const logger = createLogger({ fields: {}, write: () => {} })
const stream = StreamName.Ledger

async function appendCharges (log: FakeLog, from: number, count: number): Promise<void> {
  for (let sequence = from; sequence < from + count; sequence++) {
    const usage = { requests: 1, promptTokens: 0, completionTokens: 0 }
    await log.append(stream, encodeRecordBatch({
      writer: 'w',
      sequence,
      records: [{ type: RecordType.Charged, charge: `c${sequence}`, keyed: false, client: 'c', subject: 's', usage }]
    }))
  }
}

function follow (log: FakeLog): { readonly fold: LedgerFold, readonly follower: StreamFollower } {
  const fold = new LedgerFold()
  return { fold, follower: new StreamFollower({ log, stream, fold, logger, pollMilliseconds: 5 }) }
}

function countCharges (fold: LedgerFold): number {
  return fold.charges.lines('c')[0]?.usage.requests ?? 0
}

void describe('StreamFollower', () => {
  void it('is ready at the end of the stream and applies entries appended later', async () => {
    const log = new FakeLog()
    await appendCharges(log, 1, 500)
    const { fold, follower } = follow(log)
    follower.start()
    await follower.ready
    assert.equal(countCharges(fold), 500)
    await appendCharges(log, 501, 1)
    assert.ok(await follower.waitFor(500, 5_000))
    assert.equal(countCharges(fold), 501)
    await follower.close()
  })

  void it('starts from a snapshot when the log has deleted the first entries', async () => {
    const log = new FakeLog()
    await appendCharges(log, 1, 50)
    const first = follow(log)
    first.follower.start()
    await first.follower.ready
    for (const part of splitSnapshot({ through: first.follower.next, data: first.follower.serialize() }, 100)) {
      await log.append(snapshotStreamOf(stream), part)
    }
    await first.follower.close()
    await appendCharges(log, 51, 10)
    log.first.set(stream, 45)
    const second = follow(log)
    second.follower.start()
    await second.follower.ready
    assert.equal(countCharges(second.fold), 60)
    await second.follower.close()
  })

  void it('catches up with a peer\'s entries while the log is down and continues from the log afterwards', async () => {
    const log = new FakeLog()
    await appendCharges(log, 1, 20)
    const peer = follow(log)
    peer.follower.start()
    await peer.follower.ready
    log.down = true
    const { fold, follower } = follow(log)
    follower.start()
    follower.applyEntries(peer.follower.entriesFrom(0) ?? [])
    follower.markCaughtUpByPeer()
    await follower.ready
    assert.equal(countCharges(fold), 20)
    log.down = false
    await appendCharges(log, 21, 1)
    assert.ok(await follower.waitFor(20, 5_000))
    assert.equal(countCharges(fold), 21)
    await follower.close()
    await peer.follower.close()
  })

  void it('restores a peer\'s snapshot only if its offset is higher', async () => {
    const log = new FakeLog()
    await appendCharges(log, 1, 5)
    const ahead = follow(log)
    ahead.follower.start()
    await ahead.follower.ready
    const { fold, follower } = follow(log)
    const behind = follower.serialize()
    follower.restorePeerSnapshot(ahead.follower.serialize())
    assert.equal(countCharges(fold), 5)
    follower.restorePeerSnapshot(behind)
    assert.equal(countCharges(fold), 5)
    await ahead.follower.close()
  })
})
