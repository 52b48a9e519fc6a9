/** Guards against an answer without end that doesn't count as broken for its target, or after which the request goes nowhere. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteKind, SlotOutcome } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { CallerKind, CallerView, ConnectionEnd, OnlineHarness } from '../util/online-harness.js'

const route: Route = {
  name: 'r',
  host: 'h',
  prefix: '/p/',
  services: [],
  timeoutMilliseconds: 2_000,
  objectiveMilliseconds: 1_000,
  priority: 0,
  completionMilliseconds: 0,
  retentionMilliseconds: 0,
  waitingTokens: 0,
  kind: RouteKind.Stream,
  maxAttempts: 3,
  resumable: true
}
const endlessBytes = 1_048_576
const status = 'HTTP/1.1 200 OK\r\n'
const head = `${status}X-Request-Id: id\r\nContent-Type: text/event-stream\r\n`
const whole = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
const soundAnswer = `${head}Content-Length: ${whole.length}\r\n\r\n${whole}`

function repeat (text: string): string {
  return text.repeat(Math.ceil(endlessBytes / text.length))
}

function chunksOf (text: string): string {
  return repeat(`${text.length.toString(16)}\r\n${text}\r\n`)
}

const endless: Readonly<Record<string, string>> = {
  'an event in chunks': `${head}Transfer-Encoding: chunked\r\n\r\n${chunksOf('data: abc\n')}`,
  'an event without framing': `${head}\r\n${repeat('data: abc\n')}`,
  'comments in chunks': `${head}Transfer-Encoding: chunked\r\n\r\n${chunksOf(': wait\n\n')}`,
  'comments without framing': `${head}\r\n${repeat(': wait\n\n')}`,
  'empty events in chunks': `${head}Transfer-Encoding: chunked\r\n\r\n${chunksOf('data:\n\n')}`,
  'empty events without framing': `${head}\r\n${repeat('data:\n\n')}`,
  'line ends': `${head}\r\n${repeat('\n')}`,
  headers: `${status}${repeat('X-Header: value\r\n')}`,
  'informational responses': repeat('HTTP/1.1 103 Early Hints\r\n\r\n'),
  'bytes that are no head': repeat('\0')
}

describe('an answer without end', () => {
  for (const [name, bytes] of Object.entries(endless)) {
    it(`counts as broken for its target, and the request goes on elsewhere: ${name}`, async () => {
      const harness = await OnlineHarness.start(route, [{ bytes, end: ConnectionEnd.None }, { bytes: soundAnswer, end: ConnectionEnd.None }])
      try {
        const answer = await harness.call(CallerKind.KeepAlive)
        assert.deepEqual([answer.status, answer.body, answer.view], [200, whole, CallerView.Complete])
        assert.deepEqual(harness.outcomes, [SlotOutcome.Broken, SlotOutcome.Finished])
      } finally {
        harness.close()
      }
    })
  }
})
