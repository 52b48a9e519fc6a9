/** Tests what a client receives of responses that have neither a length nor chunks, and when an event stream counts as complete. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, get } from 'node:http'
import type { IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { CallOutcome } from '../../src/targets/target-call.js'
import { ResponseRelay } from '../../src/online/response-relay.js'
import type { CallEnd, ResponseHead } from '../../src/index.js'
import { countCopiedBytes } from '../util/copied-bytes.js'

const unframedHead: ResponseHead = { status: 200, rawHeaders: ['X-Signature', 's'], headers: { 'x-signature': 's' } }
const complete: CallEnd = { end: CallOutcome.Complete, reason: '' }
const endUnknown: CallEnd = { end: CallOutcome.EndUnknown, reason: '' }
const chunkedHead: ResponseHead = { status: 200, rawHeaders: ['Transfer-Encoding', 'chunked'], headers: { 'transfer-encoding': 'chunked' } }

interface ClientResponse {
  readonly message: IncomingMessage
  readonly body: string
}

/** Serves one request with a relay and returns what the client receives. */
async function receive (context: TestContext, isStream: boolean, serve: (relay: ResponseRelay) => void): Promise<ClientResponse> {
  const server = createServer((_request, response) => { serve(new ResponseRelay(response, isStream)) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  context.after(() => {
    server.closeAllConnections()
    server.close()
  })
  const { port } = server.address() as AddressInfo
  const message = await new Promise<IncomingMessage>((resolve, reject) => { get({ port, host: '127.0.0.1' }, resolve).on('error', reject) })
  const chunks: Buffer[] = []
  message.on('data', (chunk: Buffer) => { chunks.push(chunk) })
  message.on('error', () => {})
  await once(message, 'close')
  return { message, body: Buffer.concat(chunks).toString() }
}

describe('ResponseRelay', () => {
  it('copies each byte of a held body a bounded number of times if each arrives alone', async context => {
    const length = 65_536
    let copied = 0
    const { body } = await receive(context, false, relay => {
      relay.onHead(unframedHead, null)
      const part = Buffer.from('x')
      copied = countCopiedBytes(context, () => {
        for (let received = 0; received < length; received += 1) {
          relay.onData(part)
        }
      })
      relay.end()
    })
    assert.equal(body.length, length)
    assert.ok(copied <= 4 * length, `${copied} bytes were copied of ${length}`)
  })

  for (const isStream of [false, true]) {
    it(`relays a response without length or chunks whole and with a framing of its own, ${isStream ? 'as a stream' : 'as a plain body'}`, async context => {
      const { message, body } = await receive(context, isStream, relay => {
        relay.onHead(unframedHead, null)
        relay.onData(Buffer.from('id: 1\ndata: a\n'))
        relay.onData(Buffer.from('\nid: 2\ndata: b\n\n'))
        assert.deepEqual(relay.endOf(endUnknown, null), endUnknown)
        relay.end()
      })
      assert.ok(message.complete)
      assert.deepEqual([message.headers['transfer-encoding'], message.headers['content-length']], isStream ? ['chunked', undefined] : [undefined, String(body.length)])
      assert.equal(body, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
    })
  }

  for (const [name, head, isStream] of [
    ['a stream in chunks', chunkedHead, true],
    ['a plain body in chunks', chunkedHead, false],
    ['a plain body that is held until its end', unframedHead, false]
  ] as const) {
    it(`relays ${name} whose bytes are overwritten by the next read`, async context => {
      const parts = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\nid', ': 3\ndata: c\n', '\n']
      const { body } = await receive(context, isStream, relay => {
        relay.onHead(head, null)
        for (const part of parts) {
          const readBuffer = Buffer.from(part)
          relay.onData(readBuffer)
          readBuffer.fill('x')
        }
        relay.end()
      })
      assert.equal(body, parts.join(''))
    })
  }

  it('tells a stream that ended inside an event, and not a plain body, from a complete one', async context => {
    for (const [head, isStream, expected] of [
      [unframedHead, true, 'the stream ended inside an event'],
      [chunkedHead, true, 'the stream ended inside an event'],
      [unframedHead, false, null],
      [{ ...unframedHead, status: 500 }, true, null]
    ] as const) {
      await receive(context, isStream, relay => {
        relay.onHead(head, null)
        relay.onData(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
        const ended = head === chunkedHead ? complete : endUnknown
        assert.deepEqual(relay.endOf(ended, null), expected === null ? ended : { end: head === chunkedHead ? CallOutcome.Broken : CallOutcome.Disconnected, reason: expected })
        relay.end()
      })
    }
  })

  it('takes an empty stream for complete only if the request resumed one, and the framing or a second end says that nothing follows', async context => {
    const truncation = 'the stream ended before its first event'
    for (const [head, resumesAfter, expected] of [
      [unframedHead, null, truncation], [chunkedHead, null, truncation], [chunkedHead, 4, null]
    ] as const) {
      await receive(context, true, relay => {
        relay.onHead(head, null)
        const ended = head === chunkedHead ? complete : endUnknown
        assert.deepEqual(relay.endOf(ended, resumesAfter), expected === null ? ended : { end: head === chunkedHead ? CallOutcome.Broken : CallOutcome.Disconnected, reason: expected })
        relay.end()
      })
    }

    await receive(context, true, relay => {
      for (const [unknownEnds, isEndDoubtful, reason] of [[1, true, truncation], [2, false, '']] as const) {
        relay.onHead(unframedHead, 4)
        assert.deepEqual([relay.endOf(endUnknown, 4), relay.unknownEnds, relay.isEndDoubtful], [{ ...endUnknown, reason }, unknownEnds, isEndDoubtful])
      }
      relay.end()
    })
  })
})
