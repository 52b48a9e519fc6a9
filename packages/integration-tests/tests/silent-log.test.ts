import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { it } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createHttpLogService, LogErrorCode } from '@arbutusloft/adapters'

const collectionMilliseconds = 20

void it('a read from a log that never answers ends, whatever the collector takes meanwhile', { timeout: 30_000 }, async () => {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  const sockets = new Set<Socket>()
  const server = createServer(socket => { sockets.add(socket) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const adapter = createHttpLogService({ address: `127.0.0.1:${port}`, timeoutMilliseconds: 400 })
  const timer = setInterval(collect, collectionMilliseconds)
  const outer = new AbortController()
  const page = await adapter.read('s', { from: 0, limit: 1, waitMilliseconds: 100, signal: outer.signal })
  assert.ok(page.err)
  assert.equal(page.val.code, LogErrorCode.Unavailable)
  const appended = await adapter.append('s', Buffer.from('x'))
  assert.ok(appended.err)
  clearInterval(timer)
  sockets.forEach(socket => { socket.destroy() })
  await adapter.close()
  server.close()
})
