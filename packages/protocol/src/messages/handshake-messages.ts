/** Messages of the mutual authentication that opens a link: each side proves with an HMAC that it knows the shared secret. */
import type { MessageType } from './message-type.js'

/** The accepting side's challenge, sent first. */
export interface Challenge {
  readonly type: typeof MessageType.Challenge
  readonly nonce: Uint8Array
}

/** The connecting side's proof, with a challenge for the accepting side. */
export interface Proof {
  readonly type: typeof MessageType.Proof
  /** Member name of the connecting process. */
  readonly instance: string
  readonly nonce: Uint8Array
  /** HMAC over the member name and both nonces. */
  readonly digest: Uint8Array
}

/** The accepting side's proof, after which the link is open. */
export interface Welcome {
  readonly type: typeof MessageType.Welcome
  /** Member name of the accepting process. */
  readonly instance: string
  /** HMAC over the member name and both nonces. */
  readonly digest: Uint8Array
}
