/** Tests that records of the jobs which no process of the fleet writes are skipped, and that the others hold. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { Packr } from 'msgpackr'
import type { KeyedRecord, NewRecord } from '../../src/log/keyed-topic.js'
import { submissionRecords } from '../../src/jobs/job-records.js'
import { JobsFold } from '../../src/jobs/jobs-fold.js'
import { createTestLogger } from '../util/test-logger.js'

const packr = new Packr({ useRecords: false })
const item = { id: 'i', path: '/p', headers: ['X-Model', 'm'], tokens: 10, bodyBytes: 0 }
const content = { route: 'r', acceptedAt: 1_790_000_000_000, acceptedBy: 'a', parts: 0, items: [item] }

function atOffsets (records: readonly NewRecord[]): readonly KeyedRecord[] {
  return records.map((record, offset) => ({ ...record, offset }))
}

/** Applies a submission with other content, and then a sound one with a body. */
function foldOf (key: string, odd: unknown): { readonly fold: JobsFold, readonly logLines: string[] } {
  const logLines: string[] = []
  const fold = new JobsFold(createTestLogger(logLines))
  fold.onChange(changed => { changed.forEach(job => { job.items.forEach(({ headers }) => { headers.findIndex(() => true) }) }) })
  const sound = submissionRecords({ id: 'sound', route: 'r', items: [{ id: 'i', path: '/p', headers: [], tokens: 5, body: Buffer.from('body') }] }, content.acceptedAt, 'a')
  fold.apply(atOffsets([{ key, value: Buffer.isBuffer(odd) ? odd : packr.pack(odd) }, ...sound]), false)
  return { fold, logLines }
}

describe('JobsFold', () => {
  it('applies a submission whose fields are in range', () => {
    assert.equal(foldOf('s/odd', content).fold.get('odd')?.items.length, 1)
  })

  it('keeps the account of a submission, and knows none of one that an earlier build has written', () => {
    assert.equal(foldOf('s/odd', { ...content, account: 'a' }).fold.get('odd')?.account, 'a')
    assert.equal(foldOf('s/odd', content).fold.get('odd')?.account, undefined)
  })

  const oddItems = [
    { headers: null }, { headers: ['X-Model', 'a\r\nX-Other: b'] }, { headers: ['X-Model', '\u010a'] }, { headers: [1, 2] }, { path: 'p' }, { path: '/a b' }, { path: '/\r\n' },
    { id: 7 }, { tokens: NaN }, { tokens: -1 }, { tokens: Infinity }, { tokens: '1' }, { bodyBytes: -1 }, { bodyBytes: 0.5 }
  ]
  const oddContents: readonly unknown[] = [
    null, 7, 'text', [], {}, ...[{ route: 7 }, { acceptedAt: NaN }, { acceptedAt: -1 }, { acceptedAt: Number.MAX_SAFE_INTEGER }, { acceptedBy: null }, { parts: -1 }, { account: 7 }, { account: '' }, { account: 'a\r\nx: y' }, { items: [] },
      { items: {} }, { items: [null] }, ...oddItems.map(odd => ({ items: [{ ...item, ...odd }] }))].map(odd => ({ ...content, ...odd }))
  ]
  for (const odd of oddContents) {
    it(`skips a submission with the content ${JSON.stringify(odd)?.slice(0, 160)}, and applies the next one`, () => {
      const { fold, logLines } = foldOf('s/odd', odd)
      assert.equal(fold.get('odd'), undefined)
      assert.equal(fold.get('sound')?.items[0]?.body.toString(), 'body')
      assert.equal(fold.waitingTokens('r'), 5)
      assert.ok(logLines.some(line => line.includes('could not apply job record')))
    })
  }

  for (const part of ['4294967294', '4294967296', '-1', '0.5', 'x', '', '10000']) {
    it(`skips a record of bodies with the number ${part}`, () => {
      const startedAt = Date.now()
      const { fold, logLines } = foldOf(`b/sound/${part}`, Buffer.from('other'))
      assert.equal(fold.get('sound')?.items[0]?.body.toString(), 'body')
      assert.ok(logLines.some(line => line.includes('could not apply job record')))
      assert.ok(Date.now() - startedAt < 1_000)
    })
  }
})
