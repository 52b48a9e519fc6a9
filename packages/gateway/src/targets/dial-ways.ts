/** The ways of this instance to targets: what is known of them, and what attempts find out. */
import { PathChangeKind, RelayChoice } from '@arbutusloft/policy'
import type { PathChange, RelayPeer, TargetPath, TargetPaths } from '@arbutusloft/policy'
import type { GatewayMetrics } from '../metrics.js'
import type { Logger } from '../util/logger.js'
import type { Relay } from './relayed-transport.js'
import type { TargetEndpoint, TargetRegistry } from './target-registry.js'
import { ConnectionFailure } from './transport.js'

/** Options of {@link DialWays}. */
export interface DialWaysOptions {
  readonly paths: TargetPaths
  /** Returns the peers that may relay, those that stop included, in order of distance, in random order otherwise. */
  readonly peers: () => readonly RelayPeer[]
  /** Returns the `ip:port` at which a peer serves calls of its peers. */
  readonly internalAddressOf: (address: string) => string
  readonly targets: TargetRegistry
  readonly metrics: Pick<GatewayMetrics, 'relayedConnections'>
  readonly logger: Logger
}

const changeMessages: Readonly<Record<PathChangeKind, string>> = {
  [PathChangeKind.TargetRelayed]: 'target relayed by peers',
  [PathChangeKind.TargetDirect]: 'target reached directly again',
  [PathChangeKind.CutOff]: 'cut off from targets',
  [PathChangeKind.Reconnected]: 'no longer cut off from targets'
}
/** Changes that are logged as warnings. */
const losses: ReadonlySet<PathChangeKind> = new Set([PathChangeKind.TargetRelayed, PathChangeKind.CutOff])

/** Records outcomes of attempts, with the metrics and log lines, and chooses ways by them. */
export class DialWays {
  readonly #relayChoice = new RelayChoice()

  constructor (private readonly options: DialWaysOptions) {
    const { paths, targets } = options
    paths.onChange(change => { this.#log(change) })
    targets.onChange(list => { paths.retainTargets(new Set(list.map(({ id }) => id))) })
  }

  get isCutOff (): boolean {
    return this.options.paths.isCutOff
  }

  /** Whether this instance can tell by itself that a target is gone to which a direct connection has failed. */
  get canTell (): boolean {
    return this.options.paths.hasRecentSuccess(Date.now())
  }

  /** Whether there are peers that may relay. */
  get hasPeers (): boolean {
    return this.options.peers().length > 0
  }

  choosePath (target: TargetEndpoint): TargetPath {
    return this.options.paths.choose(target.id, Date.now())
  }

  /**
   * Returns the addresses of the peers to ask, in order. One that stops is asked only for a connection that is closed by a known time.
   *
   * @param endsAt time by which the connection is closed, in milliseconds since the epoch; Infinity if there is none
   */
  choosePeers (endsAt: number, excluded: string | null = null): readonly string[] {
    const peers = this.options.peers().filter(({ address, isStopping }) => address !== excluded && !(isStopping && endsAt === Infinity))
    return this.#relayChoice.choose(peers, Date.now())
  }

  isStopping (address: string): boolean {
    return this.options.peers().some(peer => peer.address === address && peer.isStopping)
  }

  relayAt (address: string): Relay {
    return { address, internalAddress: this.options.internalAddressOf(address) }
  }

  /**
   * Whether a relayed connection may be used for another request: the peer still relays whatever comes, and the target is not connected to
   * directly again. One that stops has agreed to the first request only.
   */
  isUsable (target: TargetEndpoint, via: string): boolean {
    const { paths, peers } = this.options
    return paths.isRelayed(target.id) && peers().some(({ address, isStopping }) => address === via && !isStopping)
  }

  onDirectSuccess ({ id }: TargetEndpoint): void {
    this.options.paths.recordDirectSuccess(id, Date.now())
  }

  /** @param isReachable whether a peer has reached the target meanwhile */
  onDirectFailure ({ id }: TargetEndpoint, isReachable: boolean): void {
    const { paths, targets } = this.options
    const now = Date.now()
    paths.recordDirectFailure(id, targets.size, now)
    if (isReachable) {
      paths.recordRelaySuccess(id, targets.size, now)
    }
  }

  onRelaySuccess ({ id }: TargetEndpoint): void {
    const { paths, targets, metrics } = this.options
    metrics.relayedConnections.inc({ role: 'holder', outcome: 'connected' })
    paths.recordRelaySuccess(id, targets.size, Date.now())
  }

  onRelayFailure (address: string, failure: ConnectionFailure): void {
    this.options.metrics.relayedConnections.inc({ role: 'holder', outcome: failure })
    if (failure !== ConnectionFailure.Unreachable) {
      this.#relayChoice.avoid(address, Date.now())
    }
  }

  #log ({ kind, target, relayed, failed }: PathChange): void {
    const { logger, targets } = this.options
    logger[losses.has(kind) ? 'warn' : 'info'](changeMessages[kind], { target, relayed, failed, known: targets.size })
  }
}
