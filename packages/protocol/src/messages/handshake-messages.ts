/** Messages that open a link: each side proves that it knows the shared secret. */
import type { MessageType } from './message-type.js'

/** The accepting side's random challenge. */
export interface Challenge {
  readonly type: typeof MessageType.Challenge
  readonly nonce: Uint8Array
}

/** The connecting side's proof, and a challenge of its own. */
export interface Proof {
  readonly type: typeof MessageType.Proof
  readonly instance: string
  readonly nonce: Uint8Array
  readonly digest: Uint8Array
}

/** The accepting side's proof; the link is open. */
export interface Welcome {
  readonly type: typeof MessageType.Welcome
  readonly instance: string
  readonly digest: Uint8Array
}
