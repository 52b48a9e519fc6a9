import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ListName } from '@arbutusloft/protocol'
import { diffList } from '../../src/lists/diff-list.js'
import { parseList } from '../../src/lists/parse-lists.js'

function parseError (list: ListName, text: string): string {
  const parsed = parseList(list, text)
  assert.ok(parsed.err)
  return parsed.val.message
}

void describe('parseList', () => {
  void it('accepts section names that contain dots', () => {
    const sections = parseList(ListName.Usage, '[model stylist-1.5]\ncontext-tokens = 8\n').unwrap()
    assert.equal(sections[0]?.name, 'model stylist-1.5')
  })

  void it('reports the line of an invalid value and names the expected sections, keys or values', () => {
    assert.match(parseError(ListName.Usage, '\n[model m]\ncontext-tokens = x\n'), /line 3: \[model m\]/)
    assert.match(parseError(ListName.Plans, '[model m]\n'), /the plans list has sections \[client NAME\]/)
    assert.match(parseError(ListName.Usage, '[target t]\nconcurrency = 1\n'), /either "model" or "service"/)
    assert.match(parseError(ListName.Plans, '[client c]\nplan = p\nkey-hashes = secret\n'), /arbutus keys hash/)
  })
})

void describe('diffList', () => {
  void it('edits changed sections, adds new ones and removes missing ones', () => {
    const current = [{ name: 'a', body: '1', revision: 5 }, { name: 'b', body: '1', revision: 6 }, { name: 'c', body: '1', revision: 7 }]
    const desired = [{ name: 'a', body: '1' }, { name: 'b', body: '2' }, { name: 'd', body: '1' }]
    assert.deepEqual(diffList(current, desired), [
      { section: 'b', base: 6, body: '2' },
      { section: 'd', base: 0, body: '1' },
      { section: 'c', base: 7, body: null }
    ])
  })
})
