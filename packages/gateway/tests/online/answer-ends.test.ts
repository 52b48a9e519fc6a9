/** Tests what a caller can tell of its answer for every way in which a target's answer can end, by framing, kind of answer and the caller's own connection. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteKind } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { CallerKind, CallerView, ConnectionEnd, OnlineHarness } from '../util/online-harness.js'
import { sleep } from '../../src/util/sleep.js'
import type { CallerAnswer, ScriptedAnswer } from '../util/online-harness.js'

const Framing = { Length: 'length', Chunks: 'chunks', None: 'none' } as const
type Framing = typeof Framing[keyof typeof Framing]

/** Where the target's connection ends. */
const Place = { InHead: 'in the head', AfterHead: 'after the head', InsideEvent: 'inside an event', BetweenEvents: 'between two events', AfterLast: 'after the last event' } as const
type Place = typeof Place[keyof typeof Place]

/** What can be known of an answer: it is whole, was broken off, or was broken off before anything could be passed on. */
const Truth = { Whole: 'whole', Broken: 'broken', Nothing: 'nothing' } as const
type Truth = typeof Truth[keyof typeof Truth]

const events = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'] as const
const whole = events.join('')
const badGatewayStatus = 502

const common = { name: 'r', host: 'h', prefix: '/p/', services: [], timeoutMilliseconds: 2_000, objectiveMilliseconds: 1_000, priority: 0, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0 }
const plainRoute: Route = { ...common, kind: RouteKind.Idempotent, maxAttempts: 1, resumable: false }
const streamRoute: Route = { ...common, kind: RouteKind.Stream, maxAttempts: 1, resumable: false }
const resumableRoute: Route = { ...common, kind: RouteKind.Stream, maxAttempts: 2, resumable: true }

const bodyUpTo: Readonly<Record<Place, string>> = {
  [Place.InHead]: '',
  [Place.AfterHead]: '',
  [Place.InsideEvent]: `${events[0]}id: 2\nda`,
  [Place.BetweenEvents]: `${events[0]}${events[1]}`,
  [Place.AfterLast]: whole
}

/** Encodes an answer of all events that is cut at the place. */
function encode (framing: Framing, place: Place, body = bodyUpTo[place], status = 200): string {
  const head = `HTTP/1.1 ${status} S\r\nX-Request-Id: id\r\nX-Signature: s\r\n`
  if (place === Place.InHead) {
    return head
  }
  switch (framing) {
    case Framing.Length:
      return `${head}Content-Length: ${whole.length}\r\n\r\n${body}`
    case Framing.Chunks:
      return `${head}Transfer-Encoding: chunked\r\n\r\n${body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`}${place === Place.AfterLast ? '0\r\n\r\n' : ''}`
    case Framing.None:
      return `${head}\r\n${body}`
  }
}

function truthOf (isStream: boolean, framing: Framing, place: Place, end: ConnectionEnd): Truth {
  if (place === Place.InHead) {
    return Truth.Nothing
  }
  if (framing !== Framing.None) {
    const broken = place === Place.AfterHead ? Truth.Nothing : Truth.Broken
    return place === Place.AfterLast ? Truth.Whole : broken
  }
  // A plain answer is held until its end.
  if ((isStream && place === Place.AfterHead) || (!isStream && end === ConnectionEnd.Reset)) {
    return Truth.Nothing
  }
  if (end === ConnectionEnd.Reset || (isStream && place === Place.InsideEvent)) {
    return Truth.Broken
  }
  // A target that lives has ended its answer: https://www.rfc-editor.org/rfc/rfc9112#section-6.3
  return Truth.Whole
}

/** Returns what a caller of this kind may be told. Without chunks, an orderly close is the only way to end an answer whose length is not known from the start. */
function expectedView (truth: Truth, caller: CallerKind, isSized: boolean): CallerView {
  switch (truth) {
    case Truth.Whole:
      return caller === CallerKind.Old && !isSized ? CallerView.Closed : CallerView.Complete
    case Truth.Broken:
      return CallerView.Broken
    case Truth.Nothing:
      return CallerView.Complete
  }
}

async function answerTo (caller: CallerKind, route: Route, answers: readonly ScriptedAnswer[]): Promise<CallerAnswer & { readonly harness: OnlineHarness }> {
  const harness = await OnlineHarness.start(route, answers)
  try {
    return { ...await harness.call(caller), harness }
  } finally {
    harness.close()
  }
}

describe('an answer whose target ends the connection', () => {
  for (const [kind, route] of [['plain answer', plainRoute], ['stream', streamRoute]] as const) {
    for (const framing of Object.values(Framing)) {
      for (const caller of Object.values(CallerKind)) {
        it(`is never told as complete unless it is: a ${kind}, framing ${framing}, caller ${JSON.stringify(caller)}`, async () => {
          for (const place of Object.values(Place)) {
            for (const end of [ConnectionEnd.Close, ConnectionEnd.Reset]) {
              const answer = await answerTo(caller, route, [{ bytes: encode(framing, place), end }])
              const truth = truthOf(route === streamRoute, framing, place, end)
              // A plain answer without framing is held to its end, and its length is known then.
              const isSized = framing !== Framing.Chunks && route === plainRoute
              const cell = `${place}, ${end}: status ${answer.status}, ${JSON.stringify(answer.body)}`
              assert.equal(answer.view, expectedView(truth, caller, isSized), cell)
              assert.equal(answer.status, truth === Truth.Nothing ? badGatewayStatus : 200, cell)
              assert.ok(truth !== Truth.Nothing || !answer.body.includes('data'), cell)
              if (truth === Truth.Whole) {
                assert.equal(answer.body, bodyUpTo[place], cell)
              }
            }
          }
        })
      }
    }
  }

  it('keeps what was passed on before it was broken off', async () => {
    for (const caller of Object.values(CallerKind)) {
      for (const framing of Object.values(Framing)) {
        const answer = await answerTo(caller, streamRoute, [{ bytes: encode(framing, Place.InsideEvent), end: ConnectionEnd.Close }])
        // Without chunks, the incomplete event shows also to a caller that misses the reset that the stream was broken off.
        const body = caller !== CallerKind.Old ? events[0] : bodyUpTo[Place.InsideEvent]
        assert.deepEqual([answer.status, answer.body, answer.view], [200, body, CallerView.Broken], `${caller}, ${framing}`)
      }
    }
  })

  it('is passed on alike with a failure status', async () => {
    for (const caller of Object.values(CallerKind)) {
      for (const route of [plainRoute, streamRoute]) {
        for (const end of [ConnectionEnd.Close, ConnectionEnd.Reset]) {
          const answer = await answerTo(caller, route, [{ bytes: encode(Framing.None, Place.InsideEvent, 'failed', 500), end }])
          const isReset = end === ConnectionEnd.Reset
          assert.deepEqual([answer.status, answer.view, answer.body.includes('failed')], isReset ? [badGatewayStatus, CallerView.Complete, false] : [500, CallerView.Complete, true])
        }
      }
    }
  })

  it('is broken off for its caller if it is too long to be held: a plain answer without framing', async () => {
    const long = 'x'.repeat(70_000)
    for (const caller of Object.values(CallerKind)) {
      const whole = caller === CallerKind.Old ? CallerView.Closed : CallerView.Complete
      for (const [end, view] of [[ConnectionEnd.Reset, CallerView.Broken], [ConnectionEnd.Close, whole]] as const) {
        const answer = await answerTo(caller, plainRoute, [{ bytes: encode(Framing.None, Place.AfterLast, long), end }])
        assert.deepEqual([answer.status, answer.view], [200, view], `${caller}, ${end}`)
        assert.ok(long.startsWith(answer.body) && (end === ConnectionEnd.Reset || answer.body === long), `${caller}, ${end}: ${answer.body.length} bytes`)
      }
    }
  })

  it('is passed on without the bytes that follow its end', async () => {
    for (const [route, framing] of [[plainRoute, Framing.Length], [streamRoute, Framing.Chunks]] as const) {
      const answer = await answerTo(CallerKind.KeepAlive, route, [{ bytes: `${encode(framing, Place.AfterLast)}${events[0]}`, end: ConnectionEnd.Close }])
      assert.deepEqual([answer.view, answer.body], [CallerView.Complete, whole])
    }
  })
})

describe('an answer without framing whose target crashes', () => {
  // The operating system closes the connections of a process that is killed in order.
  it('is never told as complete, wherever it ends', async () => {
    for (const caller of Object.values(CallerKind)) {
      for (const [kind, route] of [['plain answer', plainRoute], ['stream', streamRoute]] as const) {
        for (const place of [Place.AfterHead, Place.InsideEvent, Place.BetweenEvents, Place.AfterLast]) {
          const answer = await answerTo(caller, route, [{ bytes: encode(Framing.None, place), end: ConnectionEnd.Crash }])
          const isNothing = route === plainRoute || place === Place.AfterHead
          assert.deepEqual([answer.status, answer.view], isNothing ? [badGatewayStatus, CallerView.Complete] : [200, CallerView.Broken], `${kind}, ${caller}, ${place}`)
        }
      }
    }
  })

  it('goes on at another target', async () => {
    const rest = encode(Framing.Chunks, Place.AfterLast, events.slice(1).join(''))
    const answer = await answerTo(CallerKind.KeepAlive, resumableRoute, [{ bytes: encode(Framing.None, Place.BetweenEvents, events[0]), end: ConnectionEnd.Crash }, { bytes: rest, end: ConnectionEnd.None }])
    assert.deepEqual([answer.body, answer.view], [whole, CallerView.Complete])
  })
})

describe('a request whose client leaves before its run begins', () => {
  it('is not sent to a target', async context => {
    const harness = await OnlineHarness.start(plainRoute, [{ bytes: encode(Framing.Length, Place.AfterLast), end: ConnectionEnd.None }], { preparationMilliseconds: 100 })
    context.after(() => { harness.close() })
    await harness.callAndLeave(30)
    await sleep(150)
    assert.deepEqual(harness.arrivals, [])
  })
})

describe('a stream that ends inside an event', () => {
  const cuts = {
    'in the first line of its first event': 'i',
    'in the first line of a later event': `${events[0]}id`,
    'behind the first line of an event': `${events[0]}id: 2\n`,
    'without the empty line of its last event': whole.slice(0, -1),
    'between a carriage return and a line feed': 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r',
    'in the middle of a character': `${events[0]}id: 2\ndata: \xc3`
  } as const

  for (const [place, body] of Object.entries(cuts)) {
    it(`has been broken off, whatever its framing and connection say: ${place}`, async () => {
      for (const caller of Object.values(CallerKind)) {
        for (const framing of [Framing.Chunks, Framing.None]) {
          for (const end of [ConnectionEnd.Close, ConnectionEnd.Reset]) {
            const answer = await answerTo(caller, streamRoute, [{ bytes: encode(framing, Place.AfterLast, body), end }])
            const hasEvents = body.includes(events[0].trimEnd()) || body.includes('\r\n\r\n')
            assert.ok(!hasEvents || body.startsWith(answer.body), JSON.stringify(answer.body))
            assert.deepEqual([answer.status, answer.view], hasEvents ? [200, CallerView.Broken] : [badGatewayStatus, CallerView.Complete], `${caller}, ${framing}, ${end}`)
          }
        }
      }
    })
  }
})

describe('a stream that was resumed', () => {
  const rest = events.slice(1).join('')
  const restInChunks = `HTTP/1.1 200 S\r\nX-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n${rest.length.toString(16)}\r\n${rest}\r\n0\r\n\r\n`
  const openRest = `HTTP/1.1 200 S\r\nX-Request-Id: id\r\n\r\n${rest}`

  it('is whole after an answer without framing that was broken off', async () => {
    for (const caller of Object.values(CallerKind)) {
      const answer = await answerTo(caller, resumableRoute, [{ bytes: encode(Framing.None, Place.InsideEvent), end: ConnectionEnd.Close }, { bytes: restInChunks, end: ConnectionEnd.None }])
      assert.deepEqual([answer.body, answer.view], [whole, caller === CallerKind.Old ? CallerView.Closed : CallerView.Complete])
    }
  })

  it('is not whole if its last answer is empty although an event was broken off before', async () => {
    const emptyRest = 'HTTP/1.1 200 S\r\nX-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    for (const [place, view] of [[Place.InsideEvent, CallerView.Broken], [Place.AfterLast, CallerView.Complete]] as const) {
      // Without its last chunk, the first answer is broken off in both cases.
      const bytes = encode(Framing.Chunks, place).replace('0\r\n\r\n', '')
      const answer = await answerTo(CallerKind.KeepAlive, resumableRoute, [{ bytes, end: ConnectionEnd.Close }, { bytes: emptyRest, end: ConnectionEnd.None }])
      assert.equal(answer.view, view, place)
    }
  })

  it('is whole if its last answer has no framing and ends in order at a target that lives, and broken off if that has ended', async () => {
    for (const [end, view] of [[ConnectionEnd.Close, CallerView.Complete], [ConnectionEnd.Crash, CallerView.Broken]] as const) {
      const answer = await answerTo(CallerKind.KeepAlive, resumableRoute, [{ bytes: encode(Framing.Chunks, Place.InsideEvent), end: ConnectionEnd.Close }, { bytes: openRest, end }])
      assert.deepEqual([answer.body, answer.view], [whole, view])
    }
  })

  it('is broken off for its caller if its last answer is', async () => {
    for (const caller of Object.values(CallerKind)) {
      for (const framing of Object.values(Framing)) {
        const cut = { bytes: encode(framing, Place.InsideEvent), end: ConnectionEnd.Close }
        const answer = await answerTo(caller, resumableRoute, [cut, { bytes: openRest.slice(0, -3), end: ConnectionEnd.Close }])
        assert.equal(answer.view, CallerView.Broken, `${caller}, ${framing}: ${JSON.stringify(answer.body)}`)
      }
    }
  })
})
