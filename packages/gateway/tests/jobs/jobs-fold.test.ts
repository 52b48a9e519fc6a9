/** Tests that listeners of a fold do not depend on each other. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { JobsFold, submissionRecords } from '../../src/index.js'
import { createTestLogger } from '../util/test-logger.js'

describe('JobsFold', () => {
  it('tells all listeners of a change although one of them fails', () => {
    const lines: string[] = []
    const fold = new JobsFold(createTestLogger(lines))
    const told: string[] = []
    fold.onChange(() => { throw new Error('planted fault') })
    fold.onChange(changed => { told.push(...[...changed].map(({ id }) => id)) })
    const item = { id: 'item', path: '/', headers: [], body: Buffer.from('body'), tokens: 1 }
    fold.apply(submissionRecords({ id: 'job', route: 'route', items: [item] }, Date.now(), 'process').map((record, offset) => ({ ...record, offset })), false)
    assert.deepEqual(told, ['job'])
    assert.ok(lines.some(line => line.includes('planted fault')))
  })
})
