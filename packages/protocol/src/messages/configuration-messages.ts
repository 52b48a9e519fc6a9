/** Gossip messages that pass the configuration on to processes that cannot reach the log. */
import type { MessageType } from './message-type.js'

/** Tells a peer how far the sender has folded the configuration stream. */
export interface ConfigurationHead {
  readonly type: typeof MessageType.ConfigurationHead
  /** Offset of the first entry that the sender has not folded yet. */
  readonly next: number
}

/** Requests the configuration entries from an offset on; sent to a peer that is further ahead. */
export interface ConfigurationFetch {
  readonly type: typeof MessageType.ConfigurationFetch
  readonly from: number
}

/** One entry of the configuration stream, as read from the log. */
export interface ConfigurationEntry {
  readonly offset: number
  /** Epoch milliseconds at which the log took the entry. */
  readonly time: number
  /** The encoded record batch. */
  readonly data: Uint8Array
}

/** Answers a fetch with configuration entries of consecutive offsets. */
export interface ConfigurationEntries {
  readonly type: typeof MessageType.ConfigurationEntries
  readonly entries: readonly ConfigurationEntry[]
}

/** Answers a fetch with the whole configuration, when the sender no longer keeps the entries that were requested. */
export interface ConfigurationSnapshot {
  readonly type: typeof MessageType.ConfigurationSnapshot
  /** Serialized state of the configuration fold, with the offset up to which it was folded. */
  readonly data: Uint8Array
}
