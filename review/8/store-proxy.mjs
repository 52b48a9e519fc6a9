/** A proxy for the way from one process to the store, which can be cut: bytes wait in both directions until the cut ends, as behind a partition. */
import { connect, createServer } from 'node:net'

export class StoreProxy {
  #isCut = false
  #pairs = new Set()

  static async start (target) {
    const proxy = new StoreProxy()
    const [host, port] = target.split(':')
    proxy.server = createServer(near => { proxy.#join(near, connect({ host, port: Number(port) })) })
    await new Promise(resolve => { proxy.server.listen(0, '127.0.0.1', resolve) })
    return proxy
  }

  get address () { return `127.0.0.1:${this.server.address().port}` }

  #join (near, far) {
    const pair = { near, far }
    this.#pairs.add(pair)
    const end = () => {
      this.#pairs.delete(pair)
      near.destroy()
      far.destroy()
    }
    for (const [from, to] of [[near, far], [far, near]]) {
      from.setNoDelay(true)
      from.on('data', bytes => { to.write(bytes) })
      from.on('error', end)
      from.on('close', end)
      if (this.#isCut) {
        from.pause()
      }
    }
  }

  setCut (isCut) {
    this.#isCut = isCut
    for (const { near, far } of this.#pairs) {
      for (const socket of [near, far]) {
        if (isCut) {
          socket.pause()
        } else {
          socket.resume()
        }
      }
    }
  }

  async close () {
    for (const { near, far } of this.#pairs) {
      near.destroy()
      far.destroy()
    }
    await new Promise(resolve => { this.server.close(resolve) })
  }
}
