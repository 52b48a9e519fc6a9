/** The union of link messages, and its encoding. */
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { decode, encode } from '../codec.js'
import { ProtocolError, ProtocolErrorCode } from '../errors.js'
import { isPlainObject } from '../util/is-plain-object.js'
import type {
  ConfigurationEntries,
  ConfigurationFetch,
  ConfigurationHead,
  ConfigurationSnapshot
} from './configuration-messages.js'
import type { Challenge, Proof, Welcome } from './handshake-messages.js'
import type { LedgerReport } from './ledger-messages.js'
import type { LimitDemand, LimitShare } from './limit-messages.js'
import { MessageType } from './message-type.js'
import type {
  LoadReport,
  PermitGrant,
  PermitQueued,
  PermitRefuse,
  PermitRegister,
  PermitRequest,
  PermitReturn,
  PermitRevoke,
  PermitWithdraw
} from './permit-messages.js'

const { Ok, Err } = tsResults

/** Any message on a link between processes. */
export type LinkMessage =
  | Challenge
  | Proof
  | Welcome
  | PermitRequest
  | PermitQueued
  | PermitGrant
  | PermitRefuse
  | PermitRevoke
  | PermitReturn
  | PermitWithdraw
  | PermitRegister
  | LedgerReport
  | LoadReport
  | LimitDemand
  | LimitShare
  | ConfigurationHead
  | ConfigurationFetch
  | ConfigurationEntries
  | ConfigurationSnapshot

const messageTypes: ReadonlySet<unknown> = new Set(Object.values(MessageType))

/** Encodes a link message as MessagePack. */
export function encodeMessage (message: LinkMessage): Buffer {
  return encode(message)
}

/**
 * Decodes a link message. Peers are authenticated, so only the message's type is checked.
 * Returns a `malformed` error for bytes that aren't a MessagePack object, `unknown-type` for an unknown type.
 */
export function decodeMessage (bytes: Uint8Array): Result<LinkMessage, ProtocolError> {
  const decoded = decode(bytes)
  if (decoded.err) {
    return decoded
  }
  const value = decoded.val
  if (!isPlainObject(value)) {
    return Err(new ProtocolError(ProtocolErrorCode.Malformed, 'expected a link message to be a MessagePack object'))
  }
  if (!messageTypes.has(value['type'])) {
    return Err(new ProtocolError(ProtocolErrorCode.UnknownType, `unknown link message type ${String(value['type'])}`))
  }
  return Ok(value as unknown as LinkMessage)
}
