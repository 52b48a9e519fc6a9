import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ListName, RecordType } from '@arbutusloft/protocol'
import type { ConfigurationEdited, SectionEdit } from '@arbutusloft/protocol'
import fc from 'fast-check'
import { ConfigurationFold } from '../../src/fold/configuration-fold.js'

const seed = Number(process.env['FAST_CHECK_SEED'] ?? 20_261_203)

function createEdit (list: ListName, ...sections: readonly SectionEdit[]): ConfigurationEdited {
  return { type: RecordType.ConfigurationEdited, edit: `e${Math.random()}`, list, operator: 'o', sections }
}

function createModelEdit (name: string, base: number, tokens: number | null): SectionEdit {
  return { section: `model ${name}`, base, body: tokens === null ? null : `context-tokens = ${tokens}` }
}

function applyEdit (fold: ConfigurationFold, record: ConfigurationEdited, position: number): string | null {
  fold.apply(record, { position, time: position, writer: 'w' })
  return fold.findAuditEntry(record.edit)?.refusal ?? null
}

void describe('ConfigurationFold', () => {
  void it('rejects the second of two concurrent edits that create the same section', () => {
    const fold = new ConfigurationFold()
    assert.equal(applyEdit(fold, createEdit(ListName.Usage, createModelEdit('m', 0, 1)), 0), null)
    assert.match(applyEdit(fold, createEdit(ListName.Usage, createModelEdit('m', 0, 2)), 1) ?? '', /is at revision 1, not at 0/)
    assert.equal(fold.configuration.models.get('m')?.contextTokens, 1)
  })

  void it('applies either all sections of an edit or none', () => {
    const fold = new ConfigurationFold()
    applyEdit(fold, createEdit(ListName.Usage, createModelEdit('m', 0, 1)), 0)
    assert.notEqual(applyEdit(fold, createEdit(ListName.Usage, createModelEdit('n', 0, 1), createModelEdit('m', 7, 2)), 1), null)
    assert.equal(fold.configuration.models.has('n'), false)
  })

  void it('rejects the removal of a plan that a client in the other list still refers to', () => {
    const fold = new ConfigurationFold()
    const plan = { section: 'plan p', base: 0, body: 'requests-per-minute = 1\ntokens-per-minute = 1\nconcurrency = 1' }
    const client = { section: 'client c', base: 0, body: `plan = p\nkey-hashes = sha256:${'0'.repeat(64)}` }
    assert.equal(applyEdit(fold, createEdit(ListName.Usage, plan), 0), null)
    assert.equal(applyEdit(fold, createEdit(ListName.Plans, client), 1), null)
    assert.match(applyEdit(fold, createEdit(ListName.Usage, { ...plan, base: 1, body: null }), 2) ?? '', /names plan "p"/)
    assert.equal(fold.configuration.clients.get('c')?.plan, 'p')
  })

  void it('never lowers the revision, and restores the same state from a serialized one', () => {
    const arbitraryEdit = fc.record({
      name: fc.constantFrom('m', 'n'),
      base: fc.nat({ max: 8 }),
      tokens: fc.option(fc.integer({ min: -2, max: 5 }))
    })
    fc.assert(fc.property(fc.array(arbitraryEdit), edits => {
      const fold = new ConfigurationFold()
      let revision = 0
      edits.forEach(({ name, base, tokens }, position) => {
        applyEdit(fold, createEdit(ListName.Usage, createModelEdit(name, base, tokens)), position)
        assert.ok(fold.revision >= revision)
        revision = fold.revision
      })
      const restored = new ConfigurationFold()
      restored.restore(fold.serialize())
      assert.deepEqual(restored.serialize(), fold.serialize())
      assert.deepEqual(restored.configuration, fold.configuration)
    }), { seed })
  })
})
