import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RecordType } from '@arbutusloft/protocol'
import type { LedgerRecord } from '@arbutusloft/protocol'
import fc from 'fast-check'
import { keyedChargeRetentionMilliseconds, LedgerFold, requestChargeRetentionMilliseconds } from '../../src/ledger/ledger-fold.js'

const seed = Number(process.env['FAST_CHECK_SEED'] ?? 20_261_203)
const usage = { requests: 1, promptTokens: 2, completionTokens: 3 }
const call = { client: 'c', service: 's', idempotencyKey: 'k' }

function replay (records: readonly LedgerRecord[]): LedgerFold {
  const state = new LedgerFold()
  records.forEach((record, position) => { state.apply(record, { position, time: position, writer: 'w' }) })
  return state
}

function intended (attempt: string): LedgerRecord {
  return { type: RecordType.CallIntended, ...call, digest: 'd', attempt }
}

function completed (attempt: string): LedgerRecord {
  return { type: RecordType.CallCompleted, ...call, attempt, status: 200, contentType: 'text/plain', body: Buffer.from(attempt) }
}

function abandoned (attempt: string): LedgerRecord {
  return { type: RecordType.CallAbandoned, ...call, attempt }
}

void describe('LedgerFold', () => {
  void it('counts each charge identifier of a client once', () => {
    const charges = fc.array(fc.record({ client: fc.constantFrom('a', 'b'), charge: fc.constantFrom('1', '2', '3') }))
    fc.assert(fc.property(charges, list => {
      const state = replay(list.map(each => ({ type: RecordType.Charged, subject: 'm', keyed: false, usage, ...each })))
      for (const client of ['a', 'b']) {
        const distinct = new Set(list.filter(each => each.client === client).map(each => each.charge)).size
        assert.equal(state.charges.lines(client)[0]?.usage.requests ?? 0, distinct)
      }
    }), { seed })
  })

  void it('deduplicates charges under an idempotency key for longer than those under a request identifier', () => {
    const state = replay([
      { type: RecordType.Charged, charge: 'request', keyed: false, client: 'c', subject: 'm', usage },
      { type: RecordType.Charged, charge: 'key', keyed: true, client: 'c', subject: 'm', usage }
    ])
    state.prune(requestChargeRetentionMilliseconds + 2)
    assert.deepEqual([state.isCharged('c', 'request'), state.isCharged('c', 'key')], [false, true])
    state.prune(keyedChargeRetentionMilliseconds + 2)
    assert.equal(state.isCharged('c', 'key'), false)
    assert.equal(state.charges.lines('c')[0]?.usage.requests, 2)
  })

  void it('accepts completions and abandonments only of the first intent, in any order of records', () => {
    const attempt = fc.constantFrom('x', 'y', 'z')
    const record = fc.oneof(attempt.map(intended), attempt.map(completed), attempt.map(abandoned))
    fc.assert(fc.property(fc.array(record), records => {
      const state = new LedgerFold()
      let acceptedAttempt: string | null = null
      let answered = false
      records.forEach((each, position) => {
        state.apply(each, { position, time: position, writer: 'w' })
        if (each.type === RecordType.CallIntended) {
          acceptedAttempt ??= each.attempt
        } else if (each.type === RecordType.CallCompleted && each.attempt === acceptedAttempt) {
          answered = true
        } else if (each.type === RecordType.CallAbandoned && each.attempt === acceptedAttempt && !answered) {
          acceptedAttempt = null
        }
        const known = state.findCall('c', 's', 'k')
        assert.equal(known?.attempt ?? null, acceptedAttempt)
        assert.equal(known?.answer != null, answered)
      })
      assert.equal(state.charges.lines('c')[0]?.usage.requests ?? 0, answered ? 1 : 0)
    }), { seed })
  })
})
