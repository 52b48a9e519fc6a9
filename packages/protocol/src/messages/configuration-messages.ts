/** Messages by which processes pass configuration on where the log does not reach. */
import type { MessageType } from './message-type.js'

/** The offset up to which the sender has folded the configuration stream. */
export interface ConfigurationHead {
  readonly type: typeof MessageType.ConfigurationHead
  readonly next: number
}

/** Asks a peer for configuration entries from an offset on. */
export interface ConfigurationFetch {
  readonly type: typeof MessageType.ConfigurationFetch
  readonly from: number
}

/** One entry of the configuration stream, as read from the log. */
export interface ConfigurationEntry {
  readonly offset: number
  readonly time: number
  readonly data: Uint8Array
}

/** Configuration entries with consecutive offsets. */
export interface ConfigurationEntries {
  readonly type: typeof MessageType.ConfigurationEntries
  readonly entries: readonly ConfigurationEntry[]
}

/** The whole configuration, for a peer that is further behind than kept entries reach. */
export interface ConfigurationSnapshot {
  readonly type: typeof MessageType.ConfigurationSnapshot
  /** Serialized fold with its place in the stream. */
  readonly data: Uint8Array
}
