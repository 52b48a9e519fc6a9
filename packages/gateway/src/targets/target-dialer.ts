/** Makes connections to targets: directly, or through a peer where the direct way is cut. */
import type { DialWays } from './dial-ways.js'
import { connectDirectly } from './direct-transport.js'
import { isListening } from './listening-check.js'
import { TargetDial } from './target-dial.js'
import type { TargetEndpoint } from './target-registry.js'
import { ConnectionFailure } from './transport.js'
import type { ConnectAttempt, ConnectListener } from './transport.js'

/** Connects to targets. */
export class TargetDialer {
  /** @param ways null if all connections are made directly */
  constructor (private readonly ways: DialWays | null = null) {}

  /** Connects to a target. */
  dial (target: TargetEndpoint, listener: ConnectListener): ConnectAttempt {
    const { ways } = this
    return ways === null ? connectDirectly(target.address, listener) : new TargetDial(target, ways, ways.choosePath(target), listener)
  }

  /** Whether a relayed connection may be used for another request. */
  isUsable (target: TargetEndpoint, via: string): boolean {
    return this.ways?.isUsable(target, via) === true
  }

  /** Records that a peer lost a connection that it relayed. */
  onRelayLost (via: string): void {
    this.ways?.onRelayFailure(via, ConnectionFailure.RelayLost)
  }

  /** Whether a process accepts connections at the target's address and keeps them open. */
  async isListening (target: TargetEndpoint): Promise<boolean> {
    return await isListening(listener => this.dial(target, listener))
  }
}
