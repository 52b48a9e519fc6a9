/** Tests that event streams are split at event boundaries, wherever the chunks end. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { EventSplitter, MalformedStreamError } from '../../src/index.js'
import { countCopiedBytes } from '../util/copied-bytes.js'

describe('EventSplitter', () => {
  it('buffers an incomplete event until the rest of it arrives', () => {
    const splitter = new EventSplitter()
    assert.deepEqual(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')), { bytes: Buffer.from('id: 1\ndata: a\n\n'), lastId: 1 })
    assert.equal(splitter.rest.toString(), 'id: 2\nda')
    assert.deepEqual(splitter.push(Buffer.from('ta: b\n\n')), { bytes: Buffer.from('id: 2\ndata: b\n\n'), lastId: 2 })
  })

  it('keeps the beginning of an event whose bytes are overwritten by the next read', () => {
    const splitter = new EventSplitter()
    const readBuffer = Buffer.from('id: 1\ndata: a\n\nid: 2\nda')
    splitter.push(readBuffer)
    readBuffer.fill('x')
    assert.deepEqual(splitter.push(Buffer.from('ta: b\n\n')), { bytes: Buffer.from('id: 2\ndata: b\n\n'), lastId: 2 })
  })

  it('reads the same last id from events of any form as a search for lines with ids', () => {
    const id = fc.oneof(fc.nat(30).map(String), fc.constantFrom('', 'x', '007', '999999999999999', '1000000000000000', '9'.repeat(20)))
    const line = fc.oneof(
      fc.tuple(fc.constantFrom('id:', 'id: ', 'id:  ', 'id', ' id: ', 'xid: ', 'Id: ', 'data: id: ', 'data: '), id, fc.constantFrom('', ' ', 'x')).map(parts => parts.join('')),
      fc.constantFrom('data: a', ': comment', 'x-weight-versions: 1')
    )
    const event = fc.tuple(fc.array(line, { minLength: 1, maxLength: 4 }), fc.constantFrom('\n', '\r\n')).map(([lines, lineEnd]) => [...lines, '', ''].join(lineEnd))
    fc.assert(fc.property(fc.array(event, { minLength: 1, maxLength: 3 }), events => {
      const text = events.join('')
      const ids = [...text.matchAll(/^id: ?(\d{1,15})$/gm)].map(match => Number(match[1]))
      const push = (): unknown => new EventSplitter().push(Buffer.from(text))
      if (ids.some((value, index) => index > 0 && value <= (ids[index - 1] ?? 0))) {
        assert.throws(push, MalformedStreamError)
      } else {
        assert.deepEqual(push(), { bytes: Buffer.from(text), lastId: ids.at(-1) ?? null })
      }
    }), { numRuns: 2_000 })
  })

  it('reads the ids of a stream after another one had events out of order', () => {
    assert.throws(() => new EventSplitter(null).push(Buffer.from('id: 2\ndata: a\n\nid: 1\ndata: b\n\n')), MalformedStreamError)
    assert.equal(new EventSplitter(null).push(Buffer.from('id: 1\ndata: a\n\n')).lastId, 1)
  })

  it('reads the id of an event that begins with another field', () => {
    const splitter = new EventSplitter()
    assert.equal(splitter.push(Buffer.from('x-weight-versions: 3\nid: 7\ndata: a\n\n')).lastId, 7)
  })

  it('finds the end of an event whose lines end with a carriage return and a line feed', () => {
    const splitter = new EventSplitter()
    assert.deepEqual(splitter.push(Buffer.from('id: 1\r\ndata: a\r\n\r')), { bytes: Buffer.alloc(0), lastId: null })
    assert.deepEqual(splitter.push(Buffer.from('\nid: 2\r\n')), { bytes: Buffer.from('id: 1\r\ndata: a\r\n\r\n'), lastId: 1 })
    assert.equal(splitter.rest.toString(), 'id: 2\r\n')
  })

  it('rejects events that do not follow the last one, and in a rest those without an id, but no comments', () => {
    const cases: ReadonlyArray<readonly [number | null, string, boolean]> = [
      [null, 'id: 1\ndata: a\n\nid: 3\ndata: c\n\n', true],
      [null, 'data: a\n\n', true],
      [null, 'id: 9007199254740992\ndata: a\n\nid: 9007199254740993\ndata: b\n\n', true],
      [3, 'id: 4th\ndata: d\n\n', false],
      [null, 'id: 2\ndata: a\n\nid: 2\ndata: b\n\n', false],
      [3, 'id: 4\r\ndata: d\r\n\r\n: comment\n:another\n\nx-weight-versions: 2\nid: 6\ndata: f\n\n', true],
      [3, 'id: 3\ndata: c\n\n', false],
      [3, 'id: 5\ndata: e\n\n', false],
      [0, 'id: 1\ndata: a\n\n', true],
      [0, 'id: 2\ndata: b\n\n', false],
      [3, 'data: d\n\n', false],
      [3, 'data: d\n: comment\n\n', false],
      [3, 'id: 4\ndata: d\n\nthe error\n\n', false]
    ]
    for (const [after, text, isAccepted] of cases) {
      const push = (): unknown => new EventSplitter(after).push(Buffer.from(text))
      if (isAccepted) {
        assert.doesNotThrow(push, text)
      } else {
        assert.throws(push, MalformedStreamError, text)
      }
    }
  })

  it('rejects an event without end, after returning the complete events before it', () => {
    const splitter = new EventSplitter()
    assert.equal(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\n')).lastId, 1)
    assert.throws(() => {
      for (let number = 0; number < 10; number += 1) {
        splitter.push(Buffer.alloc(65_536, 'x'))
      }
    }, MalformedStreamError)
  })

  for (const partBytes of [1, 10, 4_096]) {
    it(`copies each byte of an event a bounded number of times if it arrives in parts of ${partBytes}`, context => {
      const part = Buffer.alloc(partBytes, 'data: abc\n')
      const total = 65_536 - 65_536 % partBytes
      const splitter = new EventSplitter()
      const copied = countCopiedBytes(context, () => {
        for (let received = 0; received < total; received += partBytes) {
          splitter.push(part)
        }
      })
      assert.ok(copied <= 4 * total, `${copied} bytes were copied of ${total}`)
      const end = splitter.push(Buffer.from('\n\n'))
      assert.equal(end.bytes.length, total + 2)
    })
  }

  it('finds the end of an event and keeps the next one if each byte arrives alone', () => {
    const splitter = new EventSplitter()
    const text = 'id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\nda'
    const readBuffer = Buffer.alloc(1)
    const events: string[] = []
    for (const byte of Buffer.from(text)) {
      readBuffer[0] = byte
      const { bytes } = splitter.push(readBuffer)
      if (bytes.length > 0) {
        events.push(bytes.toString())
      }
    }
    assert.deepEqual(events, ['id: 1\r\ndata: a\r\n\r\n', 'id: 2\ndata: b\n\n'])
    assert.equal(splitter.rest.toString(), 'id: 3\nda')
    assert.ok(splitter.showsMore)
  })

  for (const [name, part, needsIds] of [
    ['comments', ': wait\n\n', false],
    ['empty events', 'data:\n\n', false],
    ['line ends', '\n\n', false],
    ['events without ids in a stream that needs them', 'data: a\n\n', true]
  ] as const) {
    it(`rejects ${name} without end`, () => {
      const splitter = new EventSplitter(null, needsIds)
      let pushed = 0
      assert.throws(() => {
        for (; pushed < 1_048_576; pushed += part.length) {
          splitter.push(Buffer.from(part))
        }
      }, MalformedStreamError)
      assert.ok(pushed <= 262_144, `${pushed} bytes were accepted`)
      assert.equal(splitter.isEmpty, !needsIds)
    })

    it(`accepts some of ${name} before each event`, () => {
      const splitter = new EventSplitter(null, needsIds)
      for (let event = 1; event <= 10; event += 1) {
        splitter.push(Buffer.from(part.repeat(Math.floor(131_072 / part.length))))
        assert.equal(splitter.push(Buffer.from(`id: ${event}\ndata: a\n\n`)).lastId, event)
      }
    })
  }

  it('returns every byte in order, wherever the chunks end', () => {
    const events = Array.from({ length: 8 }, (_, index) => `id: ${index + 1}\ndata: ${'x'.repeat(index)}\n\n`).join('')
    fc.assert(fc.property(fc.array(fc.nat(events.length), { maxLength: 12 }), cuts => {
      const splitter = new EventSplitter()
      const borders = [0, ...cuts.sort((left, right) => left - right), events.length]
      let passed = ''
      let lastId: number | null = null
      for (let index = 1; index < borders.length; index += 1) {
        const whole = splitter.push(Buffer.from(events.slice(borders[index - 1], borders[index])))
        passed += whole.bytes.toString()
        lastId = whole.lastId ?? lastId
        const counted = passed.split('\n\n').length - 1
        assert.equal(lastId ?? 0, counted)
      }
      assert.equal(passed, events)
    }), { seed: 20261204 })
  })
})
