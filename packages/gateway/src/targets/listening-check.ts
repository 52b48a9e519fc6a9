/** Tells a target that ended a response by closing its connection from one that crashed, whose connections the operating system closes alike. */
import { connect } from 'node:net'

/** Time to establish a connection; a target that does not accept one in time counts as gone. */
const connectTimeoutMilliseconds = 120

/**
 * Returns whether a process accepts connections at an address. Sends nothing.
 *
 * @param address `ip:port`
 */
export async function isListening (address: string): Promise<boolean> {
  const [host = '', port = ''] = address.split(':')
  return await new Promise(resolve => {
    const socket = connect({ host, port: Number(port) })
    const settle = (isConnected: boolean): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(isConnected)
    }
    const timer = setTimeout(() => { settle(false) }, connectTimeoutMilliseconds)
    socket.once('connect', () => { settle(true) })
    socket.on('error', () => { settle(false) })
  })
}
