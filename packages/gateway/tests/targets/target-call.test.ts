/** Tests how calls end whose connection cannot be opened. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { callTarget, CallOutcome } from '../../src/targets/target-call.js'
import { TargetConnections } from '../../src/targets/target-connections.js'

const names = { requestId: 'x-request-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notExecuted: 'x-not-executed', targetLeaving: 'x-leaving', promptPrefix: 'x-prompt-prefix', resumes: 'x-resumes', wait: 'x-wait' }
const request = { id: 'i', method: 'POST', path: '/p', headers: [], body: null, remainingMilliseconds: null }
const sink = { onHead: () => {}, onData: () => true, onLeaving: () => {}, onForeign: () => {} }

describe('callTarget', () => {
  for (const address of ['127.0.0.1:65536', '127.0.0.1:-1', '127.0.0.1:x']) {
    it(`ends as unreachable if no connection to ${address} can be opened`, async context => {
      const connections = new TargetConnections()
      context.after(() => { connections.close() })
      const call = callTarget(connections, { id: 't', address, born: 1, softwareVersion: 'v1' }, request, names, sink)
      call.resume()
      call.skipBody()
      call.abort('stopped')
      const { end } = await call.ended
      assert.equal(end, CallOutcome.Unreachable)
    })
  }
})
