/** An in-memory network between members in one process; a timer delivers datagrams asynchronously, as a network does. */
import { Packr } from 'msgpackr'
import type { PeerMessage, PeerTransport } from '../../src/index.js'

const packr = new Packr({ useRecords: false })

/** Delivers messages between the transports that it creates, counts them, and can isolate members. */
export class LoopbackNetwork {
  readonly #members = new Map<string, LoopbackTransport>()
  readonly #isolated = new Set<string>()
  #sent = 0
  #bytes = 0
  #largestMessageBytes = 0

  /** Creates the transport of a member. */
  join (address: string): LoopbackTransport {
    const transport = new LoopbackTransport(address, this)
    this.#members.set(address, transport)
    return transport
  }

  /** Number of messages sent so far. */
  get sent (): number {
    return this.#sent
  }

  /** Bytes of all messages sent so far. */
  get bytes (): number {
    return this.#bytes
  }

  /** Bytes of the largest message. */
  get largestMessageBytes (): number {
    return this.#largestMessageBytes
  }

  /** Drops all messages from and to a member. */
  isolate (address: string): void {
    this.#isolated.add(address)
  }

  /** Ends the isolation of a member. */
  reconnect (address: string): void {
    this.#isolated.delete(address)
  }

  deliver (from: string, to: string, message: PeerMessage): void {
    this.#sent += 1
    const { length } = packr.pack(message)
    this.#bytes += length
    this.#largestMessageBytes = Math.max(this.#largestMessageBytes, length)
    if (!this.#isolated.has(from) && !this.#isolated.has(to)) {
      setTimeout(() => { this.#members.get(to)?.receive(message, from) }, 1)
    }
  }
}

/** The transport of one member. */
export class LoopbackTransport implements PeerTransport {
  readonly #listeners: Array<(message: PeerMessage, sender: string) => void> = []

  constructor (readonly address: string, private readonly network: LoopbackNetwork) {}

  send (address: string, message: PeerMessage): void {
    this.network.deliver(this.address, address, message)
  }

  onMessage (listener: (message: PeerMessage, sender: string) => void): void {
    this.#listeners.push(listener)
  }

  receive (message: PeerMessage, sender: string): void {
    for (const listener of this.#listeners) {
      listener(message, sender)
    }
  }
}
