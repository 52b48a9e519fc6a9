/** An address at which connections hang: a thread listens and accepts none, and the queue of the operating system is full. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'
import { sleep } from '../../src/index.js'
import { afterNextRead } from '../../src/util/after-next-read.js'

/** Time within which a connection that does not hang is established, and for the thread to stop after it has told that it listens. */
const establishedMilliseconds = 50

/** Listens on a free address; returns a function that frees it. */
export async function startHangingAddress (host: string, port: number): Promise<{ readonly close: () => Promise<void> }> {
  const worker = new Worker(new URL(import.meta.url), { workerData: { host, port } satisfies Listened })
  await once(worker, 'message')
  await sleep(establishedMilliseconds)
  const sockets: Socket[] = []
  for (let isFull = false; !isFull;) {
    const socket = connect(port, host)
    socket.on('error', () => {})
    sockets.push(socket)
    await Promise.race([once(socket, 'connect'), sleep(establishedMilliseconds)])
    // Beside a busy event loop, the connection may be established and not be noticed yet.
    await new Promise<void>(resolve => { afterNextRead(resolve) })
    isFull = socket.connecting
  }
  return {
    close: async () => {
      sockets.forEach(socket => { socket.destroy() })
      await worker.terminate()
    }
  }
}

interface Listened {
  readonly host: string
  readonly port: number
}

function listen ({ host, port }: Listened): void {
  createServer().listen({ port, host, backlog: 1 }, () => {
    parentPort?.postMessage('listening')
    // The message is sent before the thread stops.
    setImmediate(() => { Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0) })
  })
}

if (!isMainThread) {
  listen(workerData as Listened)
}
