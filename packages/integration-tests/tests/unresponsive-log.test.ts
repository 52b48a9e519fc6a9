import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { it } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createHttpLogService, LogErrorCode } from '@arbutusloft/adapters'

const collectionIntervalMilliseconds = 20

// `AbortSignal.any` over `AbortSignal.timeout` may be garbage-collected before it fires, and the call then never ends:
// https://github.com/nodejs/node/issues/54614. The test collects garbage during calls to a log that never responds.
void it('calls to an unresponsive log time out even if garbage is collected meanwhile', { timeout: 30_000 }, async () => {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  const sockets = new Set<Socket>()
  const server = createServer(socket => { sockets.add(socket) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const adapter = createHttpLogService({ address: `127.0.0.1:${port}`, timeoutMilliseconds: 400 })
  const timer = setInterval(collectGarbage, collectionIntervalMilliseconds)
  const callerController = new AbortController()
  const page = await adapter.read('s', { from: 0, limit: 1, waitMilliseconds: 100, signal: callerController.signal })
  assert.ok(page.err)
  assert.equal(page.val.code, LogErrorCode.Unavailable)
  const appended = await adapter.append('s', Buffer.from('x'))
  assert.ok(appended.err)
  clearInterval(timer)
  sockets.forEach(socket => { socket.destroy() })
  await adapter.close()
  server.close()
})
