/** Makes connections to targets: directly, or through a peer where the direct way is cut. */
import type { DialWays } from './dial-ways.js'
import { connectDirectly } from './direct-transport.js'
import { isListening } from './listening-check.js'
import { connectThroughPeer } from './relayed-transport.js'
import { TargetDial } from './target-dial.js'
import type { TargetEndpoint } from './target-registry.js'
import { ConnectionFailure } from './transport.js'
import type { ConnectAttempt, ConnectListener } from './transport.js'

/** Longer than a connection that is made only to find out whether the target is there. */
const checkMilliseconds = 500

/** Connects to targets, and finds out why connections to them have ended. */
export class TargetDialer {
  /** Checks that run, by target and way. */
  readonly #checks = new Map<string, Promise<boolean>>()

  /** @param ways null if all connections are made directly */
  constructor (private readonly ways: DialWays | null = null) {}

  /**
   * Connects to a target.
   *
   * @param endsAt time by which the connection's first request ends in any case, in milliseconds since the epoch; Infinity if there is none
   */
  dial (target: TargetEndpoint, endsAt: number, listener: ConnectListener): ConnectAttempt {
    const { ways } = this
    return ways === null ? connectDirectly(target.address, listener) : new TargetDial(target, endsAt, ways, ways.choosePath(target), listener)
  }

  /** Whether a relayed connection may be used for another request. */
  isUsable (target: TargetEndpoint, via: string): boolean {
    return this.ways?.isUsable(target, via) === true
  }

  /** Records that a peer lost a connection that it relayed. */
  onRelayLost (via: string): void {
    this.ways?.onRelayFailure(via, ConnectionFailure.RelayLost)
  }

  /**
   * Whether a process accepts connections at the target's address and keeps them open.
   *
   * @param endsAt time by which the request ends that asks for it, which a peer that stops has agreed to, in milliseconds since the epoch
   */
  async isListening (target: TargetEndpoint, endsAt: number): Promise<boolean> {
    return await isListening(listener => this.dial(target, Math.min(endsAt, Date.now() + checkMilliseconds), listener))
  }

  /** Whether {@link wasEndedByTarget} finds out anything. */
  get canCheck (): boolean {
    return this.ways?.hasPeers === true
  }

  /**
   * Whether a connection that was closed or reset was ended by the target. Otherwise the way that it had is cut: only another way reaches the
   * target now.
   *
   * @param via the peer that relayed the connection, or null
   * @param endsAt time by which the connection's request ends, in milliseconds since the epoch: a peer that stops then still answers
   */
  async wasEndedByTarget (target: TargetEndpoint, via: string | null, endsAt: number): Promise<boolean> {
    const { ways } = this
    if (ways === null) {
      return true
    }
    // Connections that are lost together are checked together.
    const key = `${target.id} ${target.born} ${via}`
    const check = this.#checks.get(key) ?? checkTarget(ways, target, via, Math.min(endsAt, Date.now() + checkMilliseconds))
    this.#checks.set(key, check)
    const result = await check
    this.#checks.delete(key)
    return result
  }
}

async function checkTarget (ways: DialWays, target: TargetEndpoint, via: string | null, endsAt: number): Promise<boolean> {
  const failure = via === null ? await tryDirectly(ways, target) : await tryPeer(ways, target, via, endsAt)
  if (failure === null || (via !== null && failure === ConnectionFailure.Unreachable)) {
    return true
  }
  for (const address of ways.choosePeers(endsAt, via)) {
    const peerFailure = await tryPeer(ways, target, address, endsAt)
    if (peerFailure !== ConnectionFailure.NoPath) {
      return peerFailure === ConnectionFailure.Unreachable
    }
  }
  return !ways.isCutOff
}

async function tryDirectly (ways: DialWays, target: TargetEndpoint): Promise<ConnectionFailure | null> {
  const failure = await tryToConnect(listener => connectDirectly(target.address, listener))
  if (failure === null) {
    ways.onDirectSuccess(target)
  } else {
    ways.onDirectFailure(target, false)
  }
  return failure
}

async function tryPeer (ways: DialWays, target: TargetEndpoint, address: string, endsAt: number): Promise<ConnectionFailure | null> {
  const failure = await tryToConnect(listener => connectThroughPeer(ways.relayAt(address), target, endsAt, listener))
  if (failure === null) {
    ways.onRelaySuccess(target)
  } else {
    ways.onRelayFailure(address, failure)
  }
  return failure
}

/** Connects and closes the connection; returns why it could not be made, or null. */
async function tryToConnect (connect: (listener: ConnectListener) => ConnectAttempt): Promise<ConnectionFailure | null> {
  return await new Promise(resolve => {
    connect({
      onConnected: transport => {
        transport.destroy()
        resolve(null)
      },
      onFailed: (_reason, failure) => { resolve(failure) }
    })
  })
}
