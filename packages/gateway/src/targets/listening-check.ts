/** Tells a target that ended a response by closing its connection from one that crashed, whose connections the operating system closes alike. */
import { connect } from 'node:net'

/** Time to establish a connection; a target that does not accept one in time counts as gone. */
const connectTimeoutMilliseconds = 120
/** Time for which the connection has to stay open: a process that ends closes its connections and its listening socket one after the other. */
const openMilliseconds = 20

/**
 * Returns whether a process accepts connections at an address and keeps them open. Sends nothing.
 *
 * @param address `ip:port`
 */
export async function isListening (address: string): Promise<boolean> {
  const [host = '', port = ''] = address.split(':')
  return await new Promise(resolve => {
    const socket = connect({ host, port: Number(port) })
    const settle = (isOpen: boolean): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(isOpen)
    }
    let timer = setTimeout(() => { settle(false) }, connectTimeoutMilliseconds)
    socket.once('connect', () => {
      clearTimeout(timer)
      timer = setTimeout(() => { settle(true) }, openMilliseconds)
    })
    socket.on('error', () => { settle(false) })
    socket.once('close', () => { settle(false) })
    // The end of a connection is noticed only while it is read.
    socket.resume()
  })
}
