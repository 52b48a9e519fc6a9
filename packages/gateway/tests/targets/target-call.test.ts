/** Tests how calls end whose connection cannot be opened. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { callTarget, CallOutcome } from '../../src/targets/target-call.js'
import { TargetConnections } from '../../src/targets/target-connections.js'
import { sleep } from '../../src/util/sleep.js'
import { Cut, RelayHarness } from '../util/relay-harness.js'

const names = { requestId: 'x-request-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notExecuted: 'x-not-executed', targetLeaving: 'x-leaving', rateLimit: 'x-rate-limit', promptPrefix: 'x-prompt-prefix', resumes: 'x-resumes', wait: 'x-wait' }
const request = { id: 'i', method: 'POST', path: '/p', headers: [], body: null, remainingMilliseconds: null }
const sink = { onHead: () => {}, onData: () => true, onLeaving: () => {}, onRateLimit: () => {}, onForeign: () => {} }

/** Longer than an attempt to connect. */
const dialMilliseconds = 600

describe('callTarget', () => {
  for (const address of ['127.0.0.1:65536', '127.0.0.1:-1', '127.0.0.1:x']) {
    it(`ends as unreachable if no connection to ${address} can be opened`, async context => {
      const connections = new TargetConnections()
      context.after(() => { connections.close() })
      const call = callTarget(connections, { id: 't', address, born: 1, softwareVersion: 'v1' }, request, names, sink)
      call.resume()
      call.skipBody()
      const { end } = await call.ended
      assert.equal(end, CallOutcome.Unreachable)
    })

    it(`ends, and this process does not, if no connection to ${address} can be opened, directly or through a peer`, async context => {
      const harness = await RelayHarness.start({ serve: socket => { socket.once('data', () => { socket.destroy() }) } })
      context.after(async () => { await harness.close() })
      const errors: Error[] = []
      const onError = (error: Error): void => { errors.push(error) }
      process.on('uncaughtException', onError)
      for (const isCut of [false, true]) {
        if (isCut) {
          await harness.cut(Cut.Refuse)
          await Promise.all([1, 2].map(async number => await callTarget(harness.connections, harness.target(number), { ...request, id: `cut-${number}` }, names, sink).ended))
        }
        const { end } = await callTarget(harness.connections, { ...harness.target(1), address }, request, names, sink).ended
        assert.ok(end === CallOutcome.Unreachable || end === CallOutcome.NoPath, end)
      }
      await sleep(dialMilliseconds)
      process.off('uncaughtException', onError)
      assert.deepEqual(errors, [])
    })
  }
})
