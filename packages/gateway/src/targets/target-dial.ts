/** One attempt to connect to a target, by several ways. */
import { TargetPath } from '@arbutusloft/policy'
import { afterNextRead } from '../util/after-next-read.js'
import { connectDirectly } from './direct-transport.js'
import { connectThroughPeer } from './relayed-transport.js'
import type { DialWays } from './dial-ways.js'
import type { TargetEndpoint } from './target-registry.js'
import { ConnectionFailure } from './transport.js'
import type { ConnectAttempt, ConnectListener, TargetTransport } from './transport.js'

/** Time after which a direct connection that is not made is tried through a peer as well: several round trips between availability zones. */
const hedgeDelayMilliseconds = 40
/** Time after which the next peer is asked beside one that has not answered. */
const nextPeerDelayMilliseconds = 60
/** Time for all ways together; another target may still be tried within a latency objective then. */
const dialTimeoutMilliseconds = 350

/** States of the direct way. */
const DirectState = {
  NotTried: 'not-tried',
  Pending: 'pending',
  Failed: 'failed'
} as const
type DirectState = typeof DirectState[keyof typeof DirectState]

/** Tries the direct way and up to a few peers, in the order that the path says; the first connection counts. */
export class TargetDial implements ConnectAttempt {
  readonly #timer: NodeJS.Timeout
  /** Begins to ask peers, or asks the next one. */
  #peerTimer: NodeJS.Timeout | undefined
  #direct: ConnectAttempt | null = null
  #directState: DirectState = DirectState.NotTried
  #directReason = ''
  /** Attempts through peers that have not ended. */
  readonly #peerAttempts = new Set<ConnectAttempt>()
  /** Peers still to be asked; null before the first one. */
  #peers: string[] | null = null
  /** Peers that have been asked and do not stop; the refusal of one that stops says no more than if there were no peer. */
  #askedPeers = 0
  #peerReason = ''
  /** Whether a peer has made a connection. */
  #isReachable = false
  /** Whether a peer that can tell could not connect either. */
  #isDenied = false
  #isSettled = false

  /** @param endsAt time by which the connection is closed, in milliseconds since the epoch; Infinity if there is none */
  constructor (
    private readonly target: TargetEndpoint,
    private readonly endsAt: number,
    private readonly ways: DialWays,
    path: TargetPath,
    private readonly listener: ConnectListener
  ) {
    this.#timer = setTimeout(() => {
      // After a freeze of the process a connection may be established already.
      afterNextRead(() => { this.#fail() })
    }, dialTimeoutMilliseconds)
    if (path !== TargetPath.Relayed) {
      this.#dialDirectly()
    }
    if (path === TargetPath.Direct) {
      this.#peerTimer = setTimeout(() => { this.#askNextPeer() }, hedgeDelayMilliseconds)
    } else {
      this.#askNextPeer()
    }
  }

  cancel (): void {
    if (!this.#isSettled) {
      this.#settle()
      this.#direct?.cancel()
    }
  }

  #dialDirectly (): void {
    this.#directState = DirectState.Pending
    this.#direct = connectDirectly(this.target.address, {
      onConnected: transport => {
        this.ways.onDirectSuccess(this.target)
        this.#connect(transport)
      },
      onFailed: reason => { this.#onDirectFailure(reason) }
    })
  }

  #onDirectFailure (reason: string): void {
    this.#directState = DirectState.Failed
    this.#directReason = reason
    this.ways.onDirectFailure(this.target, this.#isReachable)
    if (!this.#isSettled) {
      this.#goOn()
    }
  }

  /** Asks the next peer after the direct way has failed, or ends the attempt if all ways have failed. */
  #goOn (): void {
    if (this.#isDenied && this.#directState !== DirectState.Pending) {
      this.#fail()
    } else if (this.#peers === null) {
      this.#askNextPeer()
    } else if (this.#peers.length === 0 && this.#peerAttempts.size === 0) {
      this.#onPeersExhausted()
    }
  }

  #askNextPeer (): void {
    clearTimeout(this.#peerTimer)
    this.#peers ??= [...this.ways.choosePeers(this.endsAt)]
    const address = this.#peers.shift()
    if (address === undefined) {
      this.#goOn()
      return
    }
    this.#askedPeers += this.ways.isStopping(address) ? 0 : 1
    const attempt = connectThroughPeer(this.ways.relayAt(address), this.target, this.endsAt, {
      onConnected: transport => {
        this.#peerAttempts.delete(attempt)
        this.#isReachable = true
        this.ways.onRelaySuccess(this.target)
        this.#connect(transport)
      },
      onFailed: (reason, failure) => {
        this.#peerAttempts.delete(attempt)
        this.#onPeerFailure(address, reason, failure)
      }
    })
    this.#peerAttempts.add(attempt)
    if (this.#peers.length > 0) {
      this.#peerTimer = setTimeout(() => { this.#askNextPeer() }, nextPeerDelayMilliseconds)
    }
  }

  #onPeerFailure (address: string, reason: string, failure: ConnectionFailure): void {
    this.#peerReason = reason
    this.ways.onRelayFailure(address, failure)
    if (failure === ConnectionFailure.Unreachable) {
      this.#isDenied = true
      this.#stopPeers()
      this.#goOn()
    } else {
      this.#askNextPeer()
    }
  }

  #onPeersExhausted (): void {
    if (this.#directState === DirectState.NotTried) {
      this.#dialDirectly()
    } else if (this.#directState === DirectState.Failed) {
      this.#fail()
    }
  }

  #connect (transport: TargetTransport): void {
    if (this.#isSettled) {
      // Another way was faster.
      transport.destroy()
      return
    }
    this.#settle()
    this.listener.onConnected(transport)
  }

  #fail (): void {
    if (this.#isSettled) {
      return
    }
    this.#settle()
    const canTell = this.#isDenied || (this.#askedPeers === 0 && !this.ways.isCutOff) || (this.#directState === DirectState.Failed && this.ways.canTell)
    const reason = [this.#directReason, this.#peerReason].filter(part => part !== '').join('; ')
    this.listener.onFailed(reason === '' ? `no connection within ${dialTimeoutMilliseconds} ms` : reason, canTell ? ConnectionFailure.Unreachable : ConnectionFailure.NoPath)
  }

  /** Ends the attempt; a direct connection that is still pending goes on, since it shows whether the direct path is there. */
  #settle (): void {
    this.#isSettled = true
    clearTimeout(this.#timer)
    this.#stopPeers()
  }

  #stopPeers (): void {
    clearTimeout(this.#peerTimer)
    this.#peers = []
    for (const attempt of this.#peerAttempts) {
      attempt.cancel()
    }
    this.#peerAttempts.clear()
  }
}
