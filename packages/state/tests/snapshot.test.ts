import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { decodeSnapshotPart, SnapshotAssembler, splitSnapshot } from '../src/snapshot.js'

function assemble (parts: readonly Uint8Array[]): SnapshotAssembler {
  const assembler = new SnapshotAssembler()
  parts.forEach(part => { assembler.add(decodeSnapshotPart(part).unwrap()) })
  return assembler
}

void describe('snapshots', () => {
  const older = { through: 5, data: Buffer.from('older state') }
  const newer = { through: 9, data: Buffer.from('newer state, which is longer') }

  void it('are reassembled from parts in any order and interleaved with other snapshots', () => {
    const parts = [...splitSnapshot(newer, 4), ...splitSnapshot(older, 4)].reverse()
    assert.deepEqual(assemble(parts).latest, newer)
  })

  void it('are ignored while a part is missing', () => {
    const [, ...incomplete] = splitSnapshot(newer, 4)
    assert.deepEqual(assemble([...splitSnapshot(older, 4), ...incomplete]).latest, older)
  })
})
