/** Links from a process to every scheduler on the instance list. */
import { MemberKind } from '@arbutusloft/adapters'
import type { Member } from '@arbutusloft/adapters'
import type { LinkMessage } from '@arbutusloft/protocol'
import { WebSocket } from 'ws'
import type { Logger } from '../create-logger.js'
import type { Membership } from '../membership/membership.js'
import { Listeners } from '../util/listeners.js'
import { connectHandshake } from './handshake.js'
import type { HandshakeOptions } from './handshake.js'
import { Link } from './link.js'
import { SocketInbox } from './socket-inbox.js'
import type { LinkMeter } from './link-meter.js'

/** Options of {@link SchedulerLinks}. */
export interface SchedulerLinksOptions extends HandshakeOptions {
  readonly membership: Membership
  readonly meter: LinkMeter
  readonly logger: Logger
}

/** A message and the link on which it was received. */
export interface ReceivedMessage {
  readonly link: Link
  readonly message: LinkMessage
}

const reconnectIntervalMilliseconds = 200
const connectTimeoutMilliseconds = 2_000

/** Keeps one link to each scheduler and reconnects links that closed. */
export class SchedulerLinks {
  readonly #links = new Map<string, Link>()
  readonly #connecting = new Set<string>()
  readonly #openListeners = new Listeners<Link>()
  readonly #closeListeners = new Listeners<string>()
  readonly #messageListeners = new Listeners<ReceivedMessage>()
  readonly #timer: NodeJS.Timeout
  readonly #stopListening: () => void
  #closed = false

  constructor (private readonly options: SchedulerLinksOptions) {
    this.#timer = setInterval(() => { this.#connectMissing() }, reconnectIntervalMilliseconds)
    this.#stopListening = options.membership.onChange(() => { this.#connectMissing() })
    this.#connectMissing()
  }

  /** Calls the listener for each link that opens. */
  onOpen (listener: (link: Link) => void): void {
    this.#openListeners.add(listener)
  }

  /** Calls the listener with the member name of each scheduler whose link closes. */
  onClose (listener: (peer: string) => void): void {
    this.#closeListeners.add(listener)
  }

  /** Calls the listener for each message on any of the links. */
  onMessage (listener: (received: ReceivedMessage) => void): void {
    this.#messageListeners.add(listener)
  }

  /** Returns the open link to a scheduler, or null. */
  get (member: string): Link | null {
    return this.#links.get(member) ?? null
  }

  all (): readonly Link[] {
    return [...this.#links.values()]
  }

  close (): void {
    this.#closed = true
    clearInterval(this.#timer)
    this.#stopListening()
    for (const link of this.#links.values()) {
      link.close()
    }
  }

  #connectMissing (): void {
    for (const member of this.options.membership.members(MemberKind.Scheduler)) {
      if (!this.#links.has(member.id) && !this.#connecting.has(member.id)) {
        void this.#connect(member)
      }
    }
  }

  async #connect (member: Member): Promise<void> {
    this.#connecting.add(member.id)
    const socket = new WebSocket(`ws://${member.address}`, {
      handshakeTimeout: connectTimeoutMilliseconds,
      perMessageDeflate: false
    })
    socket.on('error', () => { socket.terminate() })
    try {
      const inbox = new SocketInbox(socket)
      const peer = await connectHandshake(inbox, this.options)
      this.#open(peer, member, inbox)
    } catch (error) {
      this.options.logger.debug('failed to open a link to a scheduler', { peer: member.id, error })
      socket.terminate()
    } finally {
      this.#connecting.delete(member.id)
    }
  }

  #open (peer: string, member: Member, inbox: SocketInbox): void {
    if (this.#closed || peer !== member.id) {
      inbox.socket.terminate()
      return
    }
    const link = new Link(peer, inbox, this.options.meter)
    this.#links.set(peer, link)
    link.onMessage(message => { this.#messageListeners.emit({ link, message }) })
    link.onClose(() => {
      this.#links.delete(peer)
      this.#closeListeners.emit(peer)
    })
    this.#openListeners.emit(link)
    link.startDelivery()
  }
}
