/** Tests the response parser with generated responses, split and truncated at arbitrary bytes, and with malformed ones. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { array, assert as assertProperty, constantFrom, nat, property, stringMatching, tuple, uint8Array } from 'fast-check'
import { MalformedResponseError, ResponseParser } from '../../src/index.js'
import type { ResponseHead } from '../../src/index.js'
import { countCopiedBytes } from '../util/copied-bytes.js'

interface Parsed {
  readonly heads: readonly ResponseHead[]
  readonly body: Buffer
  readonly parser: ResponseParser
  /** Whether bytes followed the end of the response. */
  readonly hasExcess: boolean
}

/** Parses bytes in parts of the given lengths; the last length is repeated. */
function parse (bytes: Buffer, lengths: readonly number[] = [bytes.length]): Parsed {
  const heads: ResponseHead[] = []
  const chunks: Buffer[] = []
  const parser = new ResponseParser({
    onHead: head => {
      heads.push(head)
      return true
    },
    onData: data => { chunks.push(Buffer.from(data)) },
    onSkipped: () => {}
  })
  let hasExcess = false
  let start = 0
  for (let part = 0; start < bytes.length; part += 1) {
    const length = Math.max(1, lengths[Math.min(part, lengths.length - 1)] ?? 1)
    hasExcess ||= !parser.push(bytes.subarray(start, start + length))
    start += length
  }
  return { heads, body: Buffer.concat(chunks), parser, hasExcess }
}

function response (head: string, body: string | Buffer = ''): Buffer {
  return Buffer.concat([Buffer.from(`HTTP/1.1 ${head}\r\n\r\n`, 'latin1'), Buffer.from(body as string)])
}

function chunked (chunks: readonly Buffer[]): Buffer {
  const parts = chunks.filter(chunk => chunk.length > 0).map(chunk => Buffer.concat([Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n')]))
  return Buffer.concat([...parts, Buffer.from('0\r\n\r\n')])
}

const bodies = array(uint8Array({ maxLength: 200 }), { maxLength: 6 })
const splits = array(nat(60), { minLength: 1, maxLength: 20 })
const header = tuple(stringMatching(/^X-[A-Za-z0-9-]{1,10}$/), stringMatching(/^[!-~]([ -~]{0,20}[!-~])?$/))

describe('ResponseParser', () => {
  it('copies each byte of a head a bounded number of times if each arrives alone', context => {
    const head = Buffer.from(`HTTP/1.1 200 OK\r\n${'X-Header: value\r\n'.repeat(1_800)}Content-Length: 0\r\n\r\n`)
    let parsed: Parsed | null = null
    const copied = countCopiedBytes(context, () => { parsed = parse(head, [1]) })
    assert.equal((parsed as Parsed | null)?.heads.length, 1)
    assert.ok(copied <= 4 * head.length, `${copied} bytes were copied of ${head.length}`)
  })

  it('returns head and body of sized and chunked responses, however they are split', () => {
    assertProperty(property(array(header, { maxLength: 5 }), bodies, splits, constantFrom('sized', 'chunked'), (headers, parts, lengths, framing) => {
      const chunks = parts.map(part => Buffer.from(part))
      const body = Buffer.concat(chunks)
      const lines = headers.map(([name, value]) => `\r\n${name}: ${value}`).join('')
      const bytes = framing === 'sized'
        ? response(`200 OK${lines}\r\nContent-Length: ${body.length}`, body)
        : response(`200 OK${lines}\r\nTransfer-Encoding: chunked`, chunked(chunks))
      const parsed = parse(bytes, lengths)
      assert.ok(parsed.parser.isComplete)
      assert.ok(parsed.parser.isPersistent)
      assert.equal(parsed.hasExcess, false)
      assert.equal(parsed.heads.length, 1)
      assert.equal(parsed.heads[0]?.status, 200)
      assert.deepEqual(parsed.heads[0]?.rawHeaders.slice(0, headers.length * 2), headers.flat())
      assert.deepEqual(parsed.body, body)
    }))
  })

  it('never takes a truncated response for a complete one, and passes on only bytes of its body', () => {
    assertProperty(property(bodies, nat(), splits, constantFrom('sized', 'chunked'), (parts, cut, lengths, framing) => {
      const chunks = parts.map(part => Buffer.from(part))
      const body = Buffer.concat(chunks)
      const bytes = framing === 'sized'
        ? response(`200 OK\r\nContent-Length: ${body.length}`, body)
        : response('200 OK\r\nTransfer-Encoding: chunked', chunked(chunks))
      const parsed = parse(bytes.subarray(0, cut % bytes.length), lengths)
      assert.equal(parsed.parser.end(), false)
      assert.deepEqual(parsed.body, body.subarray(0, parsed.body.length))
    }))
  })

  it('takes a response without a length for complete only after the orderly end of the connection, and does not use that again', () => {
    const { parser, body } = parse(response('200 OK', 'all of it'), [5])
    assert.equal(parser.isComplete, false)
    assert.equal(parser.isPersistent, false)
    assert.ok(parser.end())
    assert.equal(body.toString(), 'all of it')
  })

  it('skips informational responses', () => {
    const bytes = Buffer.concat([response('100 Continue'), response('204 No Content')])
    const { heads, parser } = parse(bytes, [7])
    assert.deepEqual(heads.map(head => head.status), [204])
    assert.ok(parser.isComplete)
  })

  it('reports bytes after the end of a response', () => {
    assert.ok(parse(response('200 OK\r\nContent-Length: 2', 'abc')).hasExcess)
    assert.ok(parse(Buffer.concat([response('200 OK\r\nTransfer-Encoding: chunked', '0\r\n\r\n'), Buffer.from('H')])).hasExcess)
  })

  it('does not use a connection again that the target closes', () => {
    for (const head of ['200 OK\r\nContent-Length: 0\r\nConnection: close', '200 OK\r\nContent-Length: 0\r\nConnection: x, Close']) {
      assert.equal(parse(response(head)).parser.isPersistent, false)
    }
    assert.equal(parse(Buffer.from('HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n')).parser.isPersistent, false)
  })

  it('reads every form of a chunk size alike, however it is split', () => {
    const bytes = response('200 OK\r\nTransfer-Encoding: chunked', '00000003\r\nabc\r\nA\r\n0123456789\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n1 \t\r\nx\r\n2;a=b\r\nyz\r\n00\r\n\r\n')
    for (let length = 1; length <= bytes.length; length += 1) {
      const { body, parser, hasExcess } = parse(bytes, [length])
      assert.equal(body.toString(), 'abc0123456789abcdefghijklmnopqrstuvwxyzxyz', `in parts of ${length} bytes`)
      assert.ok(parser.isComplete)
      assert.equal(hasExcess, false)
    }
  })

  it('makes no strings of the sizes of chunks that arrive whole', context => {
    const parser = new ResponseParser({ onHead: () => true, onData: () => {}, onSkipped: () => {} })
    parser.push(response('200 OK\r\nTransfer-Encoding: chunked'))
    const chunk = Buffer.from('5\r\nabcde\r\n')
    const { mock } = context.mock.method(Buffer.prototype, 'toString')
    for (let count = 0; count < 100; count += 1) {
      parser.push(chunk)
    }
    assert.equal(mock.callCount(), 0)
  })

  for (const bytes of ['100000001\r\n', '5\nabcde\n0\n\n', '5\r\rabcde', '5\r\nabcde\r\r', '5\r\nabcde\n\n', '-5\r\nabcde\r\n', 'g\r\n', '\r\n']) {
    it(`rejects the chunks ${JSON.stringify(bytes)} that arrive whole`, () => {
      const parser = new ResponseParser({ onHead: () => true, onData: () => {}, onSkipped: () => {} })
      assert.throws(() => { parser.push(response('200 OK\r\nTransfer-Encoding: chunked', `${bytes}${'a'.repeat(300)}\r\n`)) }, MalformedResponseError)
    })
  }

  for (const [name, bytes] of [
    ['bytes that are no response', Buffer.from('no answer in the protocol\r\n\r\n')],
    ['another protocol version', Buffer.from('HTTP/2.0 200 OK\r\n\r\n')],
    ['a header without a colon', response('200 OK\r\nbroken')],
    ['a folded header', response('200 OK\r\nX-A: 1\r\n continued')],
    ['a header with a control character', response('200 OK\r\nX-A: 1\u0000')],
    ['a space before the colon', response('200 OK\r\nContent-Length : 3', 'abc')],
    ['two lengths', response('200 OK\r\nContent-Length: 3\r\nContent-Length: 4', 'abcd')],
    ['a length that is not a number', response('200 OK\r\nContent-Length: 3, 3', 'abc')],
    ['a negative length', response('200 OK\r\nContent-Length: -1')],
    ['a length beside chunks', response('200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked', '0\r\n\r\n')],
    ['another transfer encoding', response('200 OK\r\nTransfer-Encoding: gzip, chunked', '0\r\n\r\n')],
    ['a chunk size that is not hexadecimal', response('200 OK\r\nTransfer-Encoding: chunked', 'zz\r\n\r\n')],
    ['an empty chunk size', response('200 OK\r\nTransfer-Encoding: chunked', '\r\n\r\n')],
    ['a chunk that is longer than its size', response('200 OK\r\nTransfer-Encoding: chunked', '2\r\nabc\r\n0\r\n\r\n')],
    ['a malformed trailer', response('200 OK\r\nTransfer-Encoding: chunked', '0\r\nbroken\r\n\r\n')],
    ['an endless head', response(`200 OK\r\nX-A: ${'a'.repeat(40_000)}`)],
    ['endless informational responses', response('103 Early Hints\r\nX-A: 1').toString().repeat(2_000)],
    ['endless trailers', response('200 OK\r\nTransfer-Encoding: chunked', `0\r\n${'X-A: 1\r\n'.repeat(5_000)}`)],
    ['endless chunk extensions', response('200 OK\r\nTransfer-Encoding: chunked', `1;${'a'.repeat(200)}\r\nb\r\n`.repeat(100))],
    ['an endless chunk size', response('200 OK\r\nTransfer-Encoding: chunked', `1;${'a'.repeat(500)}`)]
  ] as const) {
    it(`rejects ${name}`, () => {
      assert.throws(() => { parse(Buffer.from(bytes), [11]) }, MalformedResponseError)
    })
  }
})
