/** Gossip of the configuration stream over links, for processes whose connection to the log is stalled. */
import { MessageType } from '@arbutusloft/protocol'
import type { ConfigurationEntries, ConfigurationFetch, LinkMessage } from '@arbutusloft/protocol'
import type { Link } from '../links/link.js'
import type { StreamFollower } from '../log/stream-follower.js'

/** Milliseconds to wait for the log to deliver entries that a peer has announced, before they are fetched from the peer. */
const logDeliveryGraceMilliseconds = 300

/** Announces the next offset of this process to its peers, and fetches entries from peers that are ahead. */
export class ConfigurationGossip {
  readonly #links = new Set<Link>()
  readonly #timers = new Set<NodeJS.Timeout>()
  readonly #stopListening: () => void

  /** @param follower follower of the configuration stream */
  constructor (private readonly follower: StreamFollower) {
    this.#stopListening = follower.onAdvance(() => { this.#announceHead() })
  }

  /** Adds a peer's link, until it closes. */
  addLink (link: Link): void {
    this.#links.add(link)
    link.onMessage(message => { this.#onMessage(link, message) })
    link.onClose(() => { this.#links.delete(link) })
    this.#sendHead(link)
  }

  close (): void {
    this.#stopListening()
    this.#timers.forEach(timer => { clearTimeout(timer) })
    this.#timers.clear()
  }

  #announceHead (): void {
    for (const link of this.#links) {
      this.#sendHead(link)
    }
  }

  #sendHead (link: Link): void {
    link.send({ type: MessageType.ConfigurationHead, next: this.follower.next })
  }

  #onMessage (link: Link, message: LinkMessage): void {
    switch (message.type) {
      case MessageType.ConfigurationHead:
        this.#onHead(link, message.next)
        break
      case MessageType.ConfigurationFetch:
        this.#sendEntries(link, message)
        break
      case MessageType.ConfigurationEntries:
        this.#applyEntries(message)
        break
      case MessageType.ConfigurationSnapshot:
        this.follower.restorePeerSnapshot(message.data)
        break
      default:
        // Other messages are handled by other listeners of the link.
    }
  }

  #onHead (link: Link, next: number): void {
    if (next <= this.follower.next) {
      return
    }
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      if (this.follower.next < next) {
        link.send({ type: MessageType.ConfigurationFetch, from: this.follower.next })
      }
    }, logDeliveryGraceMilliseconds)
    this.#timers.add(timer)
  }

  #sendEntries (link: Link, message: ConfigurationFetch): void {
    const entries = this.follower.entriesFrom(message.from)
    if (entries === null) {
      link.send({ type: MessageType.ConfigurationSnapshot, data: this.follower.serialize() })
      return
    }
    link.send({ type: MessageType.ConfigurationEntries, entries })
  }

  #applyEntries (message: ConfigurationEntries): void {
    this.follower.applyEntries(message.entries)
    this.follower.markCaughtUpByPeer()
  }
}
