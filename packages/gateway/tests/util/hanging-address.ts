/** An address at which connections hang: a thread listens and accepts none, and the queue of the operating system is full. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'
import { sleep } from '../../src/index.js'
import { afterNextRead } from '../../src/util/after-next-read.js'

const loopback = '127.0.0.1'
/** Time within which a connection that does not hang is established, and for the thread to stop after it has told its port. */
const establishedMilliseconds = 50

/** Listens on a port, or any port if it is 0; returns the `ip:port` and a function that frees it. */
export async function startHangingAddress (port = 0): Promise<{ readonly address: string, readonly close: () => Promise<void> }> {
  const worker = new Worker(new URL(import.meta.url), { workerData: port })
  const [actualPort] = await once(worker, 'message') as [number]
  await sleep(establishedMilliseconds)
  const sockets: Socket[] = []
  for (let isFull = false; !isFull;) {
    const socket = connect(actualPort, loopback)
    socket.on('error', () => {})
    sockets.push(socket)
    await Promise.race([once(socket, 'connect'), sleep(establishedMilliseconds)])
    // Beside a busy event loop, the connection may be established and not be noticed yet.
    await new Promise<void>(resolve => { afterNextRead(resolve) })
    isFull = socket.connecting
  }
  return {
    address: `${loopback}:${actualPort}`,
    close: async () => {
      sockets.forEach(socket => { socket.destroy() })
      await worker.terminate()
    }
  }
}

function listen (port: number): void {
  const server = createServer()
  server.listen({ port, host: loopback, backlog: 1 }, () => {
    parentPort?.postMessage((server.address() as AddressInfo).port)
    // The message is sent before the thread stops.
    setImmediate(() => { Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0) })
  })
}

if (!isMainThread) {
  listen(Number(workerData))
}
