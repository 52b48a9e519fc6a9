import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { parseIni } from '@arbutusloft/configuration'
import { planEdits, renderRevisionLine, parseRevision } from '../src/plan-edits.js'

const current = [
  { name: 'a', body: 'x = 1', revision: 3 },
  { name: 'b', body: 'x = 1', revision: 9 }
]

function plan (text: string, fileRevision: number | null): ReturnType<typeof planEdits> {
  return planEdits(current, parseIni(text).unwrap(), fileRevision)
}

void describe('planEdits', () => {
  void it('bases edits of changed sections on the revision in force', () => {
    const { edits, conflicts } = plan('[a]\nx = 2\n[b]\nx = 1\n', 9)
    assert.deepEqual(edits, [{ section: 'a', base: 3, body: 'x = 2' }])
    assert.deepEqual(conflicts, [])
  })

  void it('does not remove sections that others added since get wrote the file', () => {
    assert.deepEqual(plan('[a]\nx = 1\n', 5).edits, [])
    assert.equal(plan('[a]\nx = 1\n', 9).edits[0]?.body, null)
  })

  void it('reports sections changed both in the file and by others as conflicts', () => {
    assert.deepEqual(plan('[a]\nx = 1\n[b]\nx = 2\n', 5).conflicts, ['b'])
  })

  void it('parses the revision that get writes', () => {
    assert.equal(parseRevision(renderRevisionLine(42) + '[a]\n'), 42)
    assert.equal(parseRevision('[a]\n'), null)
  })
})
