/** Guards against a part of a stream without framing that looks complete: a resumable stream whose target closes in order is asked for what follows. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteKind, SlotOutcome } from '@arbutusloft/policy'
import type { Route } from '@arbutusloft/policy'
import { CallerKind, CallerView, ConnectionEnd, OnlineHarness } from '../util/online-harness.js'
import type { CallerAnswer, CallOptions, OnlineHarnessOptions, ScriptedAnswer } from '../util/online-harness.js'
import { sleep } from '../../src/util/sleep.js'

const common = { name: 'r', host: 'h', prefix: '/p/', services: [], timeoutMilliseconds: 4_000, objectiveMilliseconds: 300, priority: 0, completionMilliseconds: 0, retentionMilliseconds: 0, waitingTokens: 0 }
const resumable: Route = { ...common, kind: RouteKind.Stream, maxAttempts: 3, resumable: true }
const otherRoutes: readonly Route[] = [
  { ...common, kind: RouteKind.SingleRun, maxAttempts: 1, resumable: false },
  { ...common, kind: RouteKind.SingleRun, maxAttempts: 3, resumable: false },
  { ...common, kind: RouteKind.Stream, maxAttempts: 3, resumable: false },
  { ...common, kind: RouteKind.Stream, maxAttempts: 1, resumable: true },
  { ...common, kind: RouteKind.Idempotent, maxAttempts: 3, resumable: false }
]
const events = [1, 2, 3, 4].map(number => `id: ${number}\ndata: piece ${number}\n\n`)
const whole = events.join('')
const begun = events.slice(0, 2).join('')
const rest = events.slice(2).join('')

const head = (status: number): string => `HTTP/1.1 ${status} S\r\nX-Request-Id: id\r\nContent-Type: text/event-stream\r\n`
const unframed = (body: string, end: ConnectionEnd = ConnectionEnd.Close): ScriptedAnswer => ({ bytes: `${head(200)}\r\n${body}`, end })
const framed = (body: string, status = 200, headers = ''): ScriptedAnswer => ({ bytes: `${head(status)}${headers}Content-Length: ${body.length}\r\n\r\n${body}`, end: ConnectionEnd.None })
const silent: ScriptedAnswer = { bytes: '', end: ConnectionEnd.None }

interface Outcome extends CallerAnswer {
  readonly harness: OnlineHarness
  readonly milliseconds: number
}

interface AnswerOptions extends CallOptions, Pick<OnlineHarnessOptions, 'canRunAgain'> {
  readonly route?: Route
  readonly caller?: CallerKind
}

async function answerTo (answers: readonly ScriptedAnswer[], { route = resumable, caller = CallerKind.KeepAlive, canRunAgain = true, ...options }: AnswerOptions = {}): Promise<Outcome> {
  const harness = await OnlineHarness.start(route, answers, { canRunAgain })
  const startedAt = Date.now()
  try {
    return { ...await harness.call(caller, options), harness, milliseconds: Date.now() - startedAt }
  } finally {
    harness.close()
  }
}

function wholeView (caller: CallerKind): CallerView {
  return caller === CallerKind.Old ? CallerView.Closed : CallerView.Complete
}

/** Returns the ids behind which requests asked for the rest; null for those that did not. */
function resumptions ({ arrivals }: OnlineHarness): ReadonlyArray<string | null> {
  return arrivals.map(text => /\r\nLast-Event-Id: (\S+)\r\n/i.exec(text)?.[1] ?? null)
}

describe('a resumable stream without framing whose target closes in order', () => {
  it('goes on where the target says that events follow', async () => {
    for (const caller of Object.values(CallerKind)) {
      const { body, view, harness } = await answerTo([unframed(begun), framed(rest)], { caller })
      assert.deepEqual([body, view, resumptions(harness)], [whole, wholeView(caller), [null, '2']], caller)
    }
  })

  it('goes on again if the rest ends so too', async () => {
    const { body, view, harness } = await answerTo([unframed(events[0] ?? ''), unframed(events[1] ?? ''), unframed(rest)])
    assert.deepEqual([body, view, resumptions(harness)], [whole, CallerView.Complete, [null, '1', '2']])
  })

  it('is whole after one question if the rest is empty, in each framing, and no target counts as crashed', async () => {
    for (const caller of Object.values(CallerKind)) {
      for (const empty of [framed(''), unframed(''), { bytes: `${head(200)}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, end: ConnectionEnd.None }]) {
        for (const [canRunAgain, outcomes] of [[true, [SlotOutcome.Finished]], [false, [SlotOutcome.Finished, SlotOutcome.Unsuccessful]]] as const) {
          const { body, view, harness } = await answerTo([unframed(whole), empty, framed(rest)], { caller, canRunAgain })
          assert.deepEqual([body, view, resumptions(harness)], [whole, wholeView(caller), [null, '4']], `${caller}, ${empty.bytes}`)
          assert.deepEqual(harness.outcomes, outcomes)
        }
      }
    }
  })

  it('is broken off if the rest shows that events follow, and cannot be had', async () => {
    const shown = [
      unframed('id: 3\nda'),
      framed('id: 3\nda'),
      { ...unframed(''), bytes: `${head(200)}Content-Length: 99\r\n\r\nid: 3\nda` },
      // Behind a gap.
      framed(events[3] ?? '')
    ]
    for (const caller of Object.values(CallerKind)) {
      for (const answer of shown) {
        const { body, view } = await answerTo([unframed(begun), answer, framed('')], { caller })
        assert.equal(view, CallerView.Broken, `${caller}, ${answer.bytes}`)
        assert.ok(body.startsWith(begun) && !body.includes('piece 4'), JSON.stringify(body))
      }
    }
  })

  it('is taken at its word if nobody tells more: no slot, or an answer that says nothing of the rest', async () => {
    const answers: readonly ScriptedAnswer[] = [
      { bytes: 'bytes that are no head\r\n\r\n', end: ConnectionEnd.Close },
      framed('', 204),
      framed('', 404),
      framed('failed', 500),
      framed('full', 503),
      framed('full', 503, 'X-Not-Executed: 1\r\n'),
      framed('other', 421),
      framed(whole),
      framed('the service is busy\n\n')
    ]
    assert.deepEqual((await answerTo([unframed(whole)])).view, CallerView.Complete)
    for (const answer of answers) {
      const { status, body, view, harness } = await answerTo([unframed(whole), answer])
      assert.deepEqual([status, body, view], [200, whole, CallerView.Complete], answer.bytes)
      assert.ok(harness.logLines.some(line => line.includes('end of stream not confirmed')), answer.bytes)
    }
  })

  it('is broken off if the question is lost with its connection, unless another target answers', async () => {
    for (const caller of Object.values(CallerKind)) {
      for (const lost of [unframed('', ConnectionEnd.Crash), unframed('', ConnectionEnd.Reset), { bytes: '', end: ConnectionEnd.Close }, { bytes: '', end: ConnectionEnd.Reset }]) {
        assert.deepEqual((await answerTo([unframed(begun), lost], { caller })).view, CallerView.Broken, `${caller}, ${lost.end}`)
        const { body, view } = await answerTo([unframed(whole), lost, framed('')], { caller })
        assert.deepEqual([body, view], [whole, wholeView(caller)], `${caller}, ${lost.end}`)
      }
    }
  })

  it('ends in time at a target that says nothing, and stops it', async () => {
    const { body, view, milliseconds, harness } = await answerTo([unframed(whole), silent])
    assert.deepEqual([body, view], [whole, CallerView.Complete])
    assert.ok(milliseconds < 900, `${milliseconds} ms`)
    assert.deepEqual([harness.arrivals.length, harness.outcomes], [2, [SlotOutcome.Stopped]])
  })

  it('ends in time also at a target that sends comments only', async () => {
    const { body, view, milliseconds } = await answerTo([unframed(whole), { bytes: `${head(200)}\r\n:\n\n`, end: ConnectionEnd.None }])
    assert.ok(body.startsWith(whole))
    assert.equal(view, CallerView.Complete)
    assert.ok(milliseconds < 900, `${milliseconds} ms`)
  })

  it('is whole at a target that sends it from the beginning, also if its bytes end inside an event', async () => {
    const { body, view } = await answerTo([unframed(whole), framed(`${begun}id: 3\nda`)])
    assert.deepEqual([body, view], [whole, CallerView.Complete])
  })

  it('is whole if a question is not answered after events have followed a lost one', async () => {
    const lost = { bytes: '', end: ConnectionEnd.Reset }
    const { body, view } = await answerTo([unframed(events[0] ?? ''), lost, unframed(events.slice(1).join('')), silent], { route: { ...resumable, maxAttempts: 6 } })
    assert.deepEqual([body, view], [whole, CallerView.Complete])
  })

  it('does not tell against a target that says nothing shortly before the deadline', async () => {
    for (const [canRunAgain, outcomes] of [[true, [SlotOutcome.Stopped]], [false, [SlotOutcome.Finished, SlotOutcome.Stopped]]] as const) {
      const { view, harness } = await answerTo([unframed(whole), silent, silent], { deadlineMilliseconds: 400, canRunAgain })
      assert.deepEqual([view, harness.arrivals.length, harness.outcomes], [CallerView.Complete, 2, outcomes])
    }
  })

  it('goes on where requests wait for slots, on the slot that it has, so that no waiting request is passed over', async () => {
    for (const wait of [0, 150, 400]) {
      const harness = await OnlineHarness.start(resumable, [unframed(begun), framed(rest)], { slotWaitsMilliseconds: [wait, 5_000] })
      const { body, view } = await harness.call(CallerKind.KeepAlive)
      harness.close()
      assert.deepEqual([body, view, resumptions(harness)], [whole, CallerView.Complete, [null, '2']], `${wait} ms`)
      assert.deepEqual([harness.demands.length, harness.outcomes], [1, [SlotOutcome.Finished]], `${wait} ms`)
    }
  })

  it('goes on where requests wait for slots, and its target takes no further request', async () => {
    const harness = await OnlineHarness.start(resumable, [unframed(begun), framed(rest)], { slotWaitsMilliseconds: [250, 0], canRunAgain: false })
    const { body, view } = await harness.call(CallerKind.KeepAlive)
    harness.close()
    assert.deepEqual([body, view, resumptions(harness), harness.outcomes], [whole, CallerView.Complete, [null, '2'], [SlotOutcome.Finished, SlotOutcome.Finished]])
  })

  it('waits only shortly for another slot', async () => {
    const harness = await OnlineHarness.start(resumable, [unframed(whole), framed('')], { slotWaitsMilliseconds: [0, 250], canRunAgain: false })
    const { body, view } = await harness.call(CallerKind.KeepAlive)
    harness.close()
    assert.deepEqual([body, view, harness.arrivals.length, harness.outcomes], [whole, CallerView.Complete, 1, [SlotOutcome.Finished, SlotOutcome.NotRun]])
  })

  it('goes on at another target if its own is gone or full', async () => {
    for (const [lost, outcome] of [[framed('full', 503, 'X-Not-Executed: 1\r\n'), SlotOutcome.Finished], [framed('other', 421), SlotOutcome.Replaced]] as const) {
      const { body, view, harness } = await answerTo([unframed(begun), lost, framed(rest)])
      assert.deepEqual([body, view, resumptions(harness)], [whole, CallerView.Complete, [null, '2', '2']])
      assert.deepEqual([harness.demands.length, harness.outcomes], [2, [outcome, SlotOutcome.Finished]])
      assert.deepEqual(harness.demands[1]?.excluded, ['t1'])
    }
  })

  it('may go on for longer than the question, once an event has come', async () => {
    const slowRest: ScriptedAnswer = { bytes: `${head(200)}Content-Length: ${rest.length}\r\n\r\n${events[2]}`, end: ConnectionEnd.None, later: { bytes: events[3] ?? '', afterMilliseconds: 700 } }
    const { body, view } = await answerTo([unframed(begun), slowRest])
    assert.deepEqual([body, view], [whole, CallerView.Complete])
  })

  it('is asked for by messages that builds before know', async () => {
    const { harness } = await answerTo([unframed(begun), framed(rest)], { canRunAgain: false })
    const [first, question] = harness.demands
    assert.deepEqual(Object.keys(question ?? {}), Object.keys(first ?? {}))
    assert.equal(question?.workClass, first?.workClass)
    assert.ok((question?.patience ?? Infinity) < (first?.patience ?? 0))
  })

  it('is asked for behind the events of this answer if its client took it up', async () => {
    const { body, view, harness } = await answerTo([unframed(rest), framed('')], { lastEventId: '2' })
    assert.deepEqual([body, view, resumptions(harness)], [rest, CallerView.Complete, ['2', '4']])
  })

  it('does not look whole to a client that took it up, if the beginning of a further event was seen and the rest is then empty', async () => {
    for (const begun of [unframed('id: 3\nda'), { bytes: `${head(200)}Content-Length: 99\r\n\r\nid: 3\nda`, end: ConnectionEnd.Close }]) {
      for (const empty of [framed(''), unframed('')]) {
        const { status } = await answerTo([begun, empty, empty], { lastEventId: '2' })
        assert.equal(status, 502)
      }
      const comments = [framed(':\n\n'), unframed(': comment\n\n')]
      for (const comment of comments) {
        const { body, view } = await answerTo([begun, comment, comment], { lastEventId: '2' })
        assert.equal(view, CallerView.Broken, body)
      }
    }
  })

  it('is complete as before if its instance ends meanwhile', async () => {
    const harness = await OnlineHarness.start({ ...resumable, objectiveMilliseconds: 2_000 }, [unframed(whole), silent])
    const answer = harness.call(CallerKind.KeepAlive)
    for (let wait = 0; harness.arrivals.length < 2 && wait < 200; wait += 1) {
      await sleep(5)
    }
    assert.equal(harness.arrivals.length, 2)
    const endedAt = Date.now()
    harness.ending.abort()
    const { body, view } = await answer
    harness.close()
    assert.deepEqual([body, view], [whole, CallerView.Complete])
    assert.ok(Date.now() - endedAt < 200)
  })

  it('is asked for at an instance that drains, as other attempts are', async () => {
    const harness = await OnlineHarness.start(resumable, [{ ...unframed(events[0] ?? ''), later: { bytes: events[1] ?? '', afterMilliseconds: 100 } }, framed(rest)])
    const answer = harness.call(CallerKind.KeepAlive)
    await sleep(50)
    harness.drainAdmission.begin(Date.now() + 1_000)
    const { body, view } = await answer
    harness.close()
    assert.deepEqual([body, view], [whole, CallerView.Complete])
  })
})

describe('a whole stream without framing that is taken up behind its last event', () => {
  const last = '4'

  it('is whole once two answers are empty, or one is by its framing, and no target counts as crashed', async () => {
    for (const caller of Object.values(CallerKind)) {
      for (const empty of [unframed(''), framed('')]) {
        for (const [canRunAgain, outcomes] of [[true, [SlotOutcome.Unsuccessful]], [false, [SlotOutcome.Unsuccessful, SlotOutcome.Unsuccessful]]] as const) {
          const { status, body, view, harness } = await answerTo([unframed(''), empty, framed(rest)], { caller, canRunAgain, lastEventId: last })
          assert.deepEqual([status, body, view, resumptions(harness)], [200, '', wholeView(caller), [last, last]], `${caller}, ${empty.bytes}`)
          assert.deepEqual(harness.outcomes, outcomes)
        }
      }
    }
  })

  it('is whole once two answers hold comments only', async () => {
    const { status, body, view, harness } = await answerTo([unframed(':\n\n'), unframed(':\n\n')], { lastEventId: last })
    assert.deepEqual([status, body, view, resumptions(harness)], [200, ':\n\n:\n\n', CallerView.Complete, [last, last]])
  })

  it('ends in time if the question is answered with comments only', async () => {
    const { view, milliseconds } = await answerTo([unframed(''), { bytes: `${head(200)}\r\n:\n\n`, end: ConnectionEnd.None }], { lastEventId: last })
    assert.notEqual(view, CallerView.Complete)
    assert.ok(milliseconds < 900, `${milliseconds} ms`)
  })

  it('goes on behind a comment', async () => {
    const { body, view, harness } = await answerTo([unframed(':\n\n'), framed(rest)], { lastEventId: '2' })
    assert.deepEqual([body, view, resumptions(harness)], [`:\n\n${rest}`, CallerView.Complete, ['2', '2']])
  })

  it('is whole if an earlier target was lost behind the last event', async () => {
    for (const caller of Object.values(CallerKind)) {
      const { status, body, view, harness } = await answerTo([unframed(whole, ConnectionEnd.Reset), unframed(''), unframed('')], { caller })
      assert.deepEqual([status, body, view, resumptions(harness)], [200, whole, wholeView(caller), [null, last, last]], caller)
      assert.deepEqual(harness.outcomes.slice(1), [SlotOutcome.Unsuccessful])
    }
  })

  it('goes on if the empty answer was cut off before an event', async () => {
    for (const caller of Object.values(CallerKind)) {
      const { status, body, view, harness } = await answerTo([unframed(''), framed(rest)], { caller, lastEventId: '2' })
      assert.deepEqual([status, body, view, resumptions(harness)], [200, rest, wholeView(caller), ['2', '2']], caller)
      assert.deepEqual(harness.outcomes, [SlotOutcome.Finished])
    }
  })

  it('does not look whole after one empty answer that nothing confirms', async () => {
    for (const unconfirmed of [[], [silent], [framed('full', 503)], [{ bytes: '', end: ConnectionEnd.Close }]]) {
      for (const route of [resumable, { ...resumable, maxAttempts: 1 }]) {
        const { status, harness } = await answerTo([unframed(''), ...unconfirmed], { route, lastEventId: '2', canRunAgain: false })
        assert.ok([502, 503, 504].includes(status), `${status}`)
        assert.equal(harness.outcomes[0], SlotOutcome.Unsuccessful)
      }
    }
  })

  it('is no stream to go on with where streams may not be resumed', async () => {
    const { status } = await answerTo([unframed('')], { route: { ...resumable, maxAttempts: 1, resumable: false }, lastEventId: last })
    assert.equal(status, 502)
  })

  it('gives the answer of another kind that follows, and asks for that once', async () => {
    const { status, body, harness } = await answerTo([unframed(''), { bytes: `${head(404)}\r\nmissing`, end: ConnectionEnd.Close }, framed(rest)], { lastEventId: last })
    assert.deepEqual([status, body, harness.arrivals.length], [404, 'missing', 2])
  })
})

describe('an answer without framing that may not be asked for', () => {
  for (const route of otherRoutes) {
    it(`is sent to one target, once: ${route.kind}, resumable ${route.resumable}, ${route.maxAttempts} attempts`, async () => {
      for (const caller of Object.values(CallerKind)) {
        const { body, harness } = await answerTo([unframed(begun), framed(rest)], { route, caller })
        assert.deepEqual([body, harness.arrivals.length, harness.demands.length], [begun, 1, 1])
      }
    })
  }

  it('is not asked for if its events have no ids, which could then come twice', async () => {
    const { body, view, harness } = await answerTo([unframed('data: a\n\ndata: b\n\n'), framed(rest)])
    assert.deepEqual([body, view, harness.arrivals.length], ['data: a\n\ndata: b\n\n', CallerView.Complete, 1])
  })

  it('is not asked for once its client has left', async () => {
    const harness = await OnlineHarness.start(resumable, [{ ...unframed(events[0] ?? ''), later: { bytes: events[1] ?? '', afterMilliseconds: 100 } }, framed(rest)])
    await harness.callAndLeave(50)
    await sleep(200)
    harness.close()
    assert.equal(harness.arrivals.length, 1)
  })
})
