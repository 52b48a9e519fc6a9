/** Tests which outcome the owner of a slot is told of calls whose target reset the connection, against real sockets. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { describe, it } from 'node:test'
import type { TestContext } from 'node:test'
import { SlotOutcome } from '@arbutusloft/policy'
import type { HeaderNames } from '../../src/online/header-names.js'
import type { AnswerEvidence, Slot } from '../../src/permits/slot.js'
import { releaseSlot } from '../../src/targets/slot-release.js'
import { callTarget } from '../../src/targets/target-call.js'
import { TargetConnections } from '../../src/targets/target-connections.js'

const names: HeaderNames = { requestId: 'x-request-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notExecuted: 'x-not-executed', targetLeaving: 'x-leaving', rateLimit: 'x-rate-limit', promptPrefix: 'x-prefix', resumes: 'x-resumes', wait: 'x-wait' }
/** Longer than a target takes that has too many connections to reset a new one. */
const acceptedMilliseconds = 60

interface Release {
  readonly outcome: SlotOutcome
  readonly evidence: AnswerEvidence | undefined
}

/** Sends a request to a target that resets the connection some time after it has read it; returns what is released. */
async function release (context: TestContext, onReset: (server: Server) => void): Promise<Release> {
  const server = createServer((socket: Socket) => {
    socket.on('error', () => {})
    socket.once('data', () => {
      setTimeout(() => {
        onReset(server)
        socket.resetAndDestroy()
      }, acceptedMilliseconds)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const target = { id: 't', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, born: 1, softwareVersion: 'v1' }
  const connections = new TargetConnections()
  context.after(() => {
    connections.close()
    server.close()
  })
  return await new Promise(resolve => {
    const slot: Slot = { permit: 'p', target, revoked: new AbortController().signal, markLeaving: () => {}, recordRateLimit: () => {}, markSound: () => {}, release: (outcome, evidence) => { resolve({ outcome, evidence }) } }
    const sink = { onHead: () => {}, onData: () => true, onLeaving: () => {}, onRateLimit: () => {}, onForeign: () => {} }
    const call = callTarget(connections, target, { id: 'r', method: 'POST', path: '/', headers: [], body: null, remainingMilliseconds: null }, names, sink)
    const sentAt = Date.now()
    void call.ended.then(({ end, reason }) => {
      void releaseSlot(slot, call, { end, reason, status: null, sentAt, firstDataAt: null, evidence: { isSound: false, place: 4 }, endedAt: Date.now() }, connections)
    })
  })
}

describe('the release of a slot whose target reset the connection', () => {
  it('tells of no crash if the target accepts other connections', async context => {
    assert.equal((await release(context, () => {})).outcome, SlotOutcome.Broken)
  })

  it('tells of a crash if the target accepts none, and how far the answer had come', async context => {
    const { outcome, evidence } = await release(context, server => { server.close() })
    assert.equal(outcome, SlotOutcome.Crashed)
    assert.deepEqual(evidence, { isSound: false, place: 4 })
  })
})
