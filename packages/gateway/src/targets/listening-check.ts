/** Tells a target that ended a response by closing its connection from one that crashed, whose connections the operating system closes alike. */
import { afterNextRead } from '../util/after-next-read.js'
import type { ConnectAttempt, ConnectListener } from './transport.js'

/** Time for which the connection has to stay open: a process that ends closes its connections and its listening socket one after the other. */
const openMilliseconds = 20

/**
 * Returns whether a process accepts a connection and keeps it open. Sends nothing.
 *
 * @param connect connects to the process
 */
export async function isListening (connect: (listener: ConnectListener) => ConnectAttempt): Promise<boolean> {
  return await new Promise(resolve => {
    connect({
      onFailed: () => { resolve(false) },
      onConnected: transport => {
        const settle = (isOpen: boolean): void => {
          clearTimeout(timer)
          transport.destroy()
          resolve(isOpen)
        }
        const timer = setTimeout(() => {
          // After a pause of this process, the end of the connection may have arrived already.
          afterNextRead(() => { settle(true) })
        }, openMilliseconds)
        transport.start({
          onData: () => true,
          onEnd: () => { settle(false) },
          onLost: () => { settle(false) }
        })
      }
    })
  })
}
