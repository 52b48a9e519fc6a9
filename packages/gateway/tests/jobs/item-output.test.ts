/** Tests the limit of an item's output and that an item can go on beyond it. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ItemOutput, MalformedStreamError } from '../../src/index.js'

function event (id: number, data: string): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${data}\n\n`)
}

describe('ItemOutput', () => {
  it('starts again from the first event when a stream sends more than a record can hold', () => {
    const output = new ItemOutput()
    output.startStream()
    output.push(event(1, 'a'))
    output.push(event(2, 'b'))
    output.startStream()
    assert.throws(() => {
      for (let id = 3; id < 40; id += 1) {
        output.push(event(id, 'x'.repeat(10_000)))
      }
    }, MalformedStreamError)
    assert.equal(output.progress, null)
    output.startStream()
    output.push(event(1, 'c'))
    assert.deepEqual(output.progress, { lastId: 1, text: 'c' })
  })

  it('counts restored events and the bytes, not the characters, of a text', () => {
    const output = new ItemOutput()
    output.restore({ lastId: 1, text: 'ö'.repeat(100_000) })
    output.startStream()
    output.push(event(2, 'ö'.repeat(20_000)))
    assert.throws(() => { output.push(event(3, 'ö'.repeat(20_000))) }, MalformedStreamError)
    assert.equal(output.events, 0)
  })

  it('holds an output that fits a record with its key', () => {
    const output = new ItemOutput()
    output.startStream()
    for (let id = 1; id <= 25; id += 1) {
      output.push(event(id, 'x'.repeat(10_000)))
    }
    assert.equal(output.text.length, 250_024)
  })
})
