/** The server that accepts links from other processes. */
import type { AddressInfo } from 'node:net'
import { WebSocketServer } from 'ws'
import type { WebSocket } from 'ws'
import type { Logger } from '../create-logger.js'
import { parseAddress } from '../util/parse-address.js'
import { acceptHandshake } from './handshake.js'
import type { HandshakeOptions } from './handshake.js'
import { Link } from './link.js'
import { SocketInbox } from './socket-inbox.js'
import type { LinkMeter } from './link-meter.js'

/** Options of {@link startLinkServer}. */
export interface LinkServerOptions extends HandshakeOptions {
  /** Address as `ip:port`; port 0 chooses a free port. */
  readonly address: string
  readonly meter: LinkMeter
  readonly logger: Logger
  /** Called with each authenticated link before it delivers messages. */
  readonly onLink: (link: Link) => void
}

/** A listening link server. */
export interface LinkServer {
  /** Address as `ip:port`, with the port in use. */
  readonly address: string
  /** Open links by member name of the peer. */
  readonly links: ReadonlyMap<string, Link>
  close: () => Promise<void>
}

const maximumMessageBytes = 8_388_608

/** Starts to listen for links. */
export async function startLinkServer (options: LinkServerOptions): Promise<LinkServer> {
  const { host, port } = parseAddress(options.address)
  const server = new WebSocketServer({ host, port, maxPayload: maximumMessageBytes, perMessageDeflate: false })
  await new Promise<void>((resolve, reject) => {
    server.once('listening', resolve)
    server.once('error', reject)
  })
  return new ListeningLinkServer(server, options)
}

class ListeningLinkServer implements LinkServer {
  readonly address: string
  readonly links = new Map<string, Link>()

  constructor (private readonly server: WebSocketServer, private readonly options: LinkServerOptions) {
    const { port } = server.address() as AddressInfo
    this.address = `${options.address.slice(0, options.address.lastIndexOf(':'))}:${port}`
    server.on('connection', socket => { void this.#accept(socket) })
  }

  async close (): Promise<void> {
    for (const link of this.links.values()) {
      link.close()
    }
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  async #accept (socket: WebSocket): Promise<void> {
    // Without a listener an error of the socket would be thrown and end the process.
    socket.on('error', () => { socket.terminate() })
    try {
      const inbox = new SocketInbox(socket)
      const peer = await acceptHandshake(inbox, this.options)
      this.#open(peer, inbox)
    } catch (error) {
      this.options.logger.warn('rejected a link: handshake failed', { error })
      socket.terminate()
    }
  }

  #open (peer: string, inbox: SocketInbox): void {
    // A peer connects again only after it has dropped its previous link, which may still look open on this side.
    this.links.get(peer)?.close()
    const link = new Link(peer, inbox, this.options.meter)
    this.links.set(peer, link)
    link.onClose(() => {
      if (this.links.get(peer) === link) {
        this.links.delete(peer)
      }
    })
    this.options.onLink(link)
    link.startDelivery()
  }
}
