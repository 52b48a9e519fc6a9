import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { parseIni } from '@arbutusloft/configuration'
import { planEdits, revisionLine, revisionOf } from '../src/plan-edits.js'

const present = [
  { name: 'a', body: 'x = 1', revision: 3 },
  { name: 'b', body: 'x = 1', revision: 9 }
]

function plan (text: string, gotAt: number | null): ReturnType<typeof planEdits> {
  return planEdits(present, parseIni(text).unwrap(), gotAt)
}

void describe('planEdits', () => {
  void it('edits what the file changes, on the revision in force', () => {
    const { edits, conflicts } = plan('[a]\nx = 2\n[b]\nx = 1\n', 9)
    assert.deepEqual(edits, [{ section: 'a', base: 3, body: 'x = 2' }])
    assert.deepEqual(conflicts, [])
  })

  void it('leaves alone what others added since the file was got', () => {
    assert.deepEqual(plan('[a]\nx = 1\n', 5).edits, [])
    assert.equal(plan('[a]\nx = 1\n', 9).edits[0]?.body, null)
  })

  void it('finds sections that both have changed', () => {
    assert.deepEqual(plan('[a]\nx = 1\n[b]\nx = 2\n', 5).conflicts, ['b'])
  })

  void it('reads the revision that get has written', () => {
    assert.equal(revisionOf(revisionLine(42) + '[a]\n'), 42)
    assert.equal(revisionOf('[a]\n'), null)
  })
})
