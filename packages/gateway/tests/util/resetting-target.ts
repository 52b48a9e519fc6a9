/** Runs a target in a thread of its own, so that it answers and resets its connections while the event loop of the test is blocked. */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads'

/** What the target does. */
export interface ResettingTargetOptions {
  /** Bytes of each answer; the connection is reset behind them. */
  readonly bytes: string
  /** Milliseconds from the request to the answer, and from the answer to the reset. */
  readonly delayMilliseconds: number
}

const loopback = '127.0.0.1'

/** Starts a target; returns its `ip:port` and a function that stops it. */
export async function startResettingTarget (options: ResettingTargetOptions): Promise<{ readonly address: string, readonly close: () => Promise<void> }> {
  const worker = new Worker(new URL(import.meta.url), { workerData: options })
  const [port] = await once(worker, 'message') as [number]
  return { address: `${loopback}:${port}`, close: async () => { await worker.terminate() } }
}

function serve ({ bytes, delayMilliseconds }: ResettingTargetOptions): void {
  const server = createServer((socket: Socket) => {
    socket.on('error', () => {})
    socket.once('data', () => {
      setTimeout(() => {
        socket.write(bytes, () => { setTimeout(() => { socket.resetAndDestroy() }, delayMilliseconds) })
      }, delayMilliseconds)
    })
  })
  server.listen(0, loopback, () => { parentPort?.postMessage((server.address() as AddressInfo).port) })
}

if (!isMainThread) {
  serve(workerData as ResettingTargetOptions)
}
