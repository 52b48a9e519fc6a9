/** Tests the limit of an item's output and that an item can go on beyond it. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ItemOutput, MalformedStreamError } from '../../src/index.js'
import { CallOutcome } from '../../src/targets/target-call.js'

const first = { service: 's', softwareVersion: 'v1' }
const second = { service: 's', softwareVersion: 'v2' }

function event (id: number, data: string): Buffer {
  return Buffer.from(`id: ${id}\ndata: ${data}\n\n`)
}

describe('ItemOutput', () => {
  it('starts again from the first event when a stream sends more than a record can hold', () => {
    const output = new ItemOutput()
    output.startStream(first)
    output.push(event(1, 'a'))
    output.push(event(2, 'b'))
    output.startStream(first)
    assert.throws(() => {
      for (let id = 3; id < 40; id += 1) {
        output.push(event(id, 'x'.repeat(10_000)))
      }
    }, MalformedStreamError)
    assert.equal(output.progress, null)
    output.startStream(first)
    output.push(event(1, 'c'))
    assert.deepEqual(output.progress, { lastId: 1, origin: first, text: 'c' })
  })

  it('takes no event twice from a target that begins again in place of the rest, none from one that leaves a gap, and nothing that is no event', () => {
    const output = new ItemOutput()
    output.startStream(first)
    output.push(event(1, 'a'))
    output.push(event(2, 'b'))
    for (const wrong of [event(1, 'a'), event(2, 'b'), event(4, 'd'), Buffer.concat([event(4, 'd'), event(5, 'e')]), Buffer.from('the error\n\n')]) {
      output.startStream(first)
      assert.throws(() => { output.push(wrong) }, MalformedStreamError)
      assert.deepEqual(output.progress, { lastId: 2, origin: first, text: 'a\nb' })
    }
    output.startStream(first)
    output.push(event(3, 'c'))
    assert.equal(output.text, 'a\nb\nc')
  })

  it('takes no event twice after a break if the events have no ids, or ids that are no exact numbers, and so cannot be resumed', () => {
    for (const id of ['', 'id: 4th\n', 'id: 0x1\n', 'id: 1234567890123456\n']) {
      const output = new ItemOutput()
      output.startStream(first)
      output.push(Buffer.from(`${id}data: a\n\n`))
      assert.deepEqual([output.lastId, output.progress], [null, null], id)
      output.startStream(second)
      output.push(Buffer.from(`${id}data: a\n\n${id}data: b\n\n`))
      assert.deepEqual([output.text, output.events, output.origin], ['a\nb', 2, second], id)
    }
  })

  it('begins anew after three rests in a row that cannot follow, in place of being tried until its retention ends', () => {
    const complete = { end: CallOutcome.Complete, reason: '' }
    const refused: ReadonlyArray<(output: ItemOutput) => void> = [
      output => {
        // Ids that jump, as in all answers of the service.
        assert.throws(() => { output.push(event(20, 'b')) }, MalformedStreamError)
        assert.equal(output.endOf({ end: CallOutcome.Broken, reason: 'malformed' }).end, CallOutcome.Broken)
      },
      output => {
        output.push(Buffer.from(': comment\n\n'))
        assert.throws(() => { output.push(event(20, 'b')) }, MalformedStreamError)
        output.endOf({ end: CallOutcome.Broken, reason: 'malformed' })
      },
      output => { output.recordRefusedRest() }
    ]
    for (const refuse of refused) {
      const output = new ItemOutput()
      output.startStream(first)
      output.push(event(10, 'a'))
      output.endOf({ end: CallOutcome.Disconnected, reason: 'reset' })
      for (const lastId of [10, 10, null]) {
        output.startStream(first)
        refuse(output)
        assert.equal(output.lastId, lastId)
      }
      output.startStream(second)
      output.push(Buffer.concat([event(10, 'a'), event(20, 'b')]))
      assert.deepEqual([output.endOf(complete), output.text, output.origin], [complete, 'a\nb', second])
    }
  })

  it('begins anew if an event was begun and three rests are empty', () => {
    const output = new ItemOutput()
    output.startStream(first)
    output.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
    output.endOf({ end: CallOutcome.Disconnected, reason: 'reset' })
    for (const lastId of [1, 1, null]) {
      output.startStream(first)
      assert.equal(output.endOf({ end: CallOutcome.Complete, reason: '' }).end, CallOutcome.Broken)
      assert.equal(output.lastId, lastId)
    }
  })

  it('keeps its events if rests are refused that do not follow each other, or that are lost with their connections', () => {
    const output = new ItemOutput()
    output.startStream(first)
    output.push(event(1, 'a'))
    for (let id = 2; id < 10; id += 1) {
      for (let refusal = 0; refusal < 2; refusal += 1) {
        output.startStream(first)
        assert.throws(() => { output.push(event(1, 'a')) }, MalformedStreamError)
        output.endOf({ end: CallOutcome.Broken, reason: 'malformed' })
        output.startStream(first)
        output.endOf({ end: CallOutcome.Disconnected, reason: 'reset' })
      }
      output.startStream(first)
      output.push(event(id, 'b'))
      output.endOf({ end: CallOutcome.Disconnected, reason: 'reset' })
      assert.equal(output.lastId, id)
    }
  })

  it('counts restored events and the bytes, not the characters, of a text', () => {
    const output = new ItemOutput()
    output.restore({ lastId: 1, origin: first, text: 'ö'.repeat(100_000) })
    output.startStream(first)
    output.push(event(2, 'ö'.repeat(20_000)))
    assert.throws(() => { output.push(event(3, 'ö'.repeat(20_000))) }, MalformedStreamError)
    assert.equal(output.events, 0)
  })

  it('holds an output that fits a record with its key', () => {
    const output = new ItemOutput()
    output.startStream(first)
    for (let id = 1; id <= 25; id += 1) {
      output.push(event(id, 'x'.repeat(10_000)))
    }
    assert.equal(output.text.length, 250_024)
  })

  it('keeps a character that a break cut in two whole, in the part that follows', () => {
    const output = new ItemOutput()
    output.startStream(first)
    const accented = event(2, 'é')
    output.push(Buffer.concat([event(1, 'a'), accented.subarray(0, accented.indexOf(0xc3) + 1)]))
    output.startStream(first)
    output.push(accented)
    assert.equal(output.text, 'a\né')
  })

  it('takes its origin from the target that wrote its events, not from one that was only asked', () => {
    const output = new ItemOutput()
    output.startStream(first)
    assert.equal(output.origin, null)
    output.startStream(second)
    output.push(event(1, 'a'))
    assert.equal(output.origin, second)
    output.discard()
    assert.equal(output.origin, null)
  })
})
