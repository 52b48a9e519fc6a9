/** An in-memory network between members in one process; a timer delivers datagrams asynchronously, as a network does. */
import { Packr } from 'msgpackr'
import type { PeerMessage, PeerTransport } from '../../src/index.js'

const packr = new Packr({ useRecords: false })

/** Delivers messages between the transports that it creates, counts them, and can isolate members. */
export class LoopbackNetwork {
  readonly #members = new Map<string, LoopbackTransport>()
  readonly #isolated = new Set<string>()
  /** Members whose incoming messages are dropped. */
  readonly #deaf = new Set<string>()
  /** Paused members, each with the messages that it sends and receives once it goes on. */
  readonly #paused = new Map<string, Array<() => void>>()
  /** One part of a divided fleet; messages between it and the rest are dropped. */
  #part: ReadonlySet<string> = new Set()
  /** Share of messages that are lost. */
  loss = 0
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

  /** Drops messages between these members and all others; an empty set ends the division. */
  divide (part: ReadonlySet<string>): void {
    this.#part = part
  }

  /** Drops all messages to a member, but not those from it. */
  deafen (address: string): void {
    this.#deaf.add(address)
  }

  /** Ends what {@link deafen} began. */
  undeafen (address: string): void {
    this.#deaf.delete(address)
  }

  /** Holds all messages from and to a member back, as if its process were stopped. */
  pause (address: string): void {
    this.#paused.set(address, [])
  }

  /** Delivers what was held back. */
  unpause (address: string): void {
    const held = this.#paused.get(address) ?? []
    this.#paused.delete(address)
    held.forEach(deliver => { deliver() })
  }

  deliver (from: string, to: string, message: PeerMessage): void {
    const held = this.#paused.get(from) ?? this.#paused.get(to)
    if (held !== undefined) {
      held.push(() => { this.deliver(from, to, message) })
      return
    }
    this.#sent += 1
    const { length } = packr.pack(message)
    this.#bytes += length
    this.#largestMessageBytes = Math.max(this.#largestMessageBytes, length)
    const isLost = this.loss > 0 && Math.random() < this.loss
    if (!isLost && !this.#isolated.has(from) && !this.#isolated.has(to) && !this.#deaf.has(to) && this.#part.has(from) === this.#part.has(to)) {
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
