/** Byte connections to targets, made directly or through a peer. */
import { messageOf } from '@arbutusloft/protocol'

/** Why a connection ended or could not be made. */
export const ConnectionFailure = {
  /** The target could not be reached, and whoever tried would know of another reason. */
  Unreachable: 'unreachable',
  /** Neither this instance nor a peer could tell whether the target can be reached. */
  NoPath: 'no-path',
  /** The connection was closed or reset, by the target as far as this instance can tell. */
  Disconnected: 'disconnected',
  /** The peer that relayed the connection ended it or was lost. */
  RelayLost: 'relay-lost',
  /** This process closed the connection. */
  Closed: 'closed'
} as const
export type ConnectionFailure = typeof ConnectionFailure[keyof typeof ConnectionFailure]

/** Receives what arrives on a connection. */
export interface TransportListener {
  /** Called with bytes that are valid only during the call. Returns false to stop reading until {@link TargetTransport.resume}. */
  onData: (bytes: Buffer) => boolean
  /** Called when the target has closed its side in order, unless {@link TargetTransport.checkEnd} finds otherwise. */
  onEnd: () => void
  /** Called when the connection has ended in another way; nothing follows. */
  onLost: (reason: string, failure: ConnectionFailure) => void
}

/** An established connection to a target. */
export interface TargetTransport {
  /** Address of the peer that relays the connection, or null if it is direct. */
  readonly via: string | null
  /** Begins to read; the target sends nothing before its first request. */
  start: (listener: TransportListener) => void
  write: (bytes: Buffer) => void
  /** Whether bytes that were written have not been passed to the operating system. */
  readonly hasUnsent: boolean
  /** Goes on reading after the listener has stopped it. */
  resume: () => void
  /** Finds out whether a connection that ended was reset; calls back soon, with the reset's error or null. */
  checkEnd: (onChecked: (reset: Error | null) => void) => void
  /** Closes the connection at once; the listener is not called any more. */
  destroy: () => void
}

/** Receives the result of an attempt to connect; one of the two is called, unless the attempt is cancelled before. */
export interface ConnectListener {
  onConnected: (transport: TargetTransport) => void
  /** @param failure {@link ConnectionFailure.NoPath} if the attempt says nothing of the target */
  onFailed: (reason: string, failure: typeof ConnectionFailure.Unreachable | typeof ConnectionFailure.NoPath) => void
}

/** An attempt to connect. */
export interface ConnectAttempt {
  /** Gives the attempt up. */
  cancel: () => void
}

/** Returns an attempt that fails soon, for one that could not even begin. */
export function failSoon (listener: ConnectListener, error: unknown, failure: typeof ConnectionFailure.Unreachable | typeof ConnectionFailure.NoPath): ConnectAttempt {
  const immediate = setImmediate(() => { listener.onFailed(messageOf(error), failure) })
  return { cancel: () => { clearImmediate(immediate) } }
}

/** Time to establish a connection: a hundred times the usual duration, but short enough to try another target within a latency objective. */
export const connectTimeoutMilliseconds = 120
