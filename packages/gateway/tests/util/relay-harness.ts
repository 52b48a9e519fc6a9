/** Targets behind links of one instance that can be cut, and peers that still reach the targets. */
import { randomBytes } from 'node:crypto'
import { once } from 'node:events'
import { createServer as createHttpServer } from 'node:http'
import type { IncomingMessage, Server as HttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { DrainAdmission, TargetPaths } from '@arbutusloft/policy'
import { TargetRelay } from '../../src/targets/target-relay.js'
import { DialWays, GatewayMetrics, relayedAddressHeader, TargetConnections, TargetDialer, TargetRegistry, TargetState } from '../../src/index.js'
import type { Target } from '../../src/index.js'
import { startHangingAddress } from './hanging-address.js'
import { createHeldBytes } from './test-held-bytes.js'
import { createTestLogger } from './test-logger.js'

const loopback = '127.0.0.1'
/** An address at which nobody listens. */
const closedAddress = '127.0.0.1:1'

/** How the links of the instance are cut. */
export const Cut = {
  /** New connections are refused; the others live on. */
  Refuse: 'refuse',
  /** New connections are refused, the others reset. */
  Reset: 'reset',
  /** New connections hang, the others carry nothing more. */
  Hang: 'hang'
} as const
export type Cut = typeof Cut[keyof typeof Cut]

/** Serves a connection at a target. */
export type ServeConnection = (socket: Socket) => void

/** Options of {@link RelayHarness}. */
export interface RelayHarnessOptions {
  readonly serve: ServeConnection
  /** Number of targets; 2 by default. */
  readonly targets?: number
  /** The peers: whether each is in the instance's availability zone; one that is by default. */
  readonly peers?: readonly boolean[]
}

/** One instance with its targets and peers. */
export class RelayHarness {
  readonly paths = new TargetPaths()
  readonly registry = new TargetRegistry()
  readonly logLines: string[] = []
  readonly metrics = new GatewayMetrics()
  readonly connections: TargetConnections
  readonly links: CuttableLink[] = []
  readonly peers: RelayPeerStandIn[] = []
  /** Connections that the targets have accepted. */
  readonly accepted: Socket[] = []
  readonly #targetServers: Server[] = []

  private constructor (areNear: readonly boolean[]) {
    this.connections = new TargetConnections(new TargetDialer(new DialWays({
      paths: this.paths,
      peers: () => this.peers.flatMap(({ address, isGone, isStopping }, index) => isGone ? [] : [{ address, isNear: areNear[index] ?? true, isStopping }]),
      internalAddressOf: address => address,
      targets: this.registry,
      metrics: this.metrics,
      logger: createTestLogger(this.logLines)
    })))
  }

  static async start ({ serve, targets = 2, peers = [true] }: RelayHarnessOptions): Promise<RelayHarness> {
    const harness = new RelayHarness(peers)
    const entries: Target[] = []
    for (let number = 1; number <= targets; number += 1) {
      const link = await harness.#startTarget(serve)
      entries.push({ id: `target ${number}`, service: 's', address: link.address, zone: 'a', slots: 1, state: TargetState.Ready, born: 1, softwareVersion: 'v1' })
    }
    harness.registry.replace(entries)
    for (let number = 0; number < peers.length; number += 1) {
      harness.peers.push(await RelayPeerStandIn.start(address => harness.#actualAddressOf(address), harness.registry))
    }
    return harness
  }

  /** Returns a target as the instance knows it. */
  target (number: number): Target {
    const target = this.registry.all()[number - 1]
    if (target === undefined) {
      throw new Error(`no target ${number} among ${this.registry.size}`)
    }
    return target
  }

  /** Cuts the instance off from all targets. */
  async cut (how: Cut): Promise<void> {
    await Promise.all(this.links.map(async link => { await link.cut(how) }))
  }

  /** Ends the cut. */
  async restore (): Promise<void> {
    await Promise.all(this.links.map(async link => { await link.restore() }))
  }

  /** Ends a target for good: nobody reaches it, and its connections are closed in order, as the operating system does for a killed process. */
  async endTarget (number: number): Promise<void> {
    this.#targetServers[number - 1]?.close()
    await this.links[number - 1]?.cut(Cut.Refuse)
    this.accepted.forEach(socket => { socket.end() })
  }

  async close (): Promise<void> {
    this.connections.close()
    this.peers.forEach(peer => { peer.kill() })
    await Promise.all(this.links.map(async link => { await link.close() }))
    this.accepted.forEach(socket => { socket.destroy() })
    this.#targetServers.forEach(server => { server.close() })
  }

  async #startTarget (serve: ServeConnection): Promise<CuttableLink> {
    const server = createServer({ allowHalfOpen: true }, socket => {
      this.accepted.push(socket)
      socket.on('error', () => {})
      serve(socket)
    })
    server.listen(0, loopback)
    await once(server, 'listening')
    this.#targetServers.push(server)
    const link = await CuttableLink.start((server.address() as AddressInfo).port)
    this.links.push(link)
    return link
  }

  /** Returns the address at which a peer reaches the target that the instance knows at an address. */
  #actualAddressOf (address: string): string {
    const link = this.links.find(candidate => candidate.address === address)
    return link === undefined ? address : `${loopback}:${link.targetPort}`
  }
}

/** A peer that relays, and its own view of the targets' addresses. */
export class RelayPeerStandIn {
  readonly paths = new TargetPaths()
  readonly metrics = new GatewayMetrics()
  /** Number of calls that it has got. */
  calls = 0
  /** Whether it is cut off from targets itself. */
  isCut = false
  isReady = true
  /** Whether the members know that it stops. */
  isStopping = false
  /** Whether it does not answer. */
  isSilent = false
  /** Whether the members know that it is gone. */
  isGone = false
  readonly #drainAdmission = new DrainAdmission()
  readonly #relay: TargetRelay

  private constructor (private readonly server: HttpServer, registry: TargetRegistry, private readonly addressOf: (address: string) => string) {
    this.#relay = new TargetRelay({ paths: this.paths, targets: registry, admits: endsAt => this.isReady || (this.isStopping && this.#drainAdmission.admits(endsAt)), held: createHeldBytes(), metrics: this.metrics })
    server.on('request', (request, response) => {
      this.calls += 1
      if (!this.isSilent) {
        this.#translate(request)
        this.#relay.serve(request, response)
      }
    })
  }

  static async start (addressOf: (address: string) => string, registry: TargetRegistry): Promise<RelayPeerStandIn> {
    const server = createHttpServer({ requestTimeout: 0 })
    server.listen(0, loopback)
    await once(server, 'listening')
    return new RelayPeerStandIn(server, registry, addressOf)
  }

  get address (): string {
    return `${loopback}:${(this.server.address() as AddressInfo | null)?.port ?? 1}`
  }

  /** Lets it stop: it breaks off what is still in flight after a time. Without any, it refuses everything, like peers of earlier versions. */
  stop (milliseconds: number): void {
    this.isReady = false
    this.isStopping = true
    this.#drainAdmission.begin(Date.now() + milliseconds)
  }

  /** Ends all connections and accepts no more, as the operating system does for a killed process. */
  kill (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  #translate ({ headers }: IncomingMessage): void {
    headers[relayedAddressHeader] = this.isCut ? closedAddress : this.addressOf(String(headers[relayedAddressHeader]))
  }
}

/** Passes connections on to a target until it is cut. */
class CuttableLink {
  readonly #sockets = new Set<Socket>()
  #server: Server
  #hanging: { readonly close: () => Promise<void> } | null = null

  private constructor (readonly targetPort: number, readonly host: string, readonly port: number, server: Server) {
    this.#server = server
  }

  static async start (targetPort: number): Promise<CuttableLink> {
    const host = randomLoopback()
    const server = createServer({ allowHalfOpen: true })
    server.listen(0, host)
    await once(server, 'listening')
    const link = new CuttableLink(targetPort, host, (server.address() as AddressInfo).port, server)
    server.on('connection', (socket: Socket) => { link.#passOn(socket) })
    return link
  }

  get address (): string {
    return `${this.host}:${this.port}`
  }

  async cut (how: Cut): Promise<void> {
    this.#server.close()
    if (how === Cut.Hang) {
      this.#sockets.forEach(socket => { socket.unpipe().pause() })
      this.#hanging = await startHangingAddress(this.host, this.port)
    } else if (how === Cut.Reset) {
      this.#sockets.forEach(socket => { socket.resetAndDestroy() })
    }
  }

  async restore (): Promise<void> {
    await this.#hanging?.close()
    this.#hanging = null
    this.#server = createServer({ allowHalfOpen: true }, socket => { this.#passOn(socket) })
    this.#server.listen(this.port, this.host)
    await once(this.#server, 'listening')
  }

  async close (): Promise<void> {
    await this.#hanging?.close()
    this.#server.close()
    this.#sockets.forEach(socket => { socket.destroy() })
  }

  #passOn (socket: Socket): void {
    const target = connect({ port: this.targetPort, host: loopback, allowHalfOpen: true })
    for (const [side, other] of [[socket, target], [target, socket]] as const) {
      this.#sockets.add(side)
      side.on('error', () => { other.resetAndDestroy() })
      side.once('close', () => {
        this.#sockets.delete(side)
        other.destroy()
      })
      side.pipe(other)
    }
  }
}

/** Returns an address of this machine that no other process uses: it must stay free while nobody listens there. */
function randomLoopback (): string {
  const [second, third, fourth] = randomBytes(3)
  return `127.${second ?? 0}.${third ?? 0}.${Math.max(1, Math.min(254, fourth ?? 0))}`
}
