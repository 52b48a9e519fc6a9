/** Errors of decoding messages and records. */

/** Reasons why bytes are rejected as a message or record. */
export const ProtocolErrorCode = {
  /** Not MessagePack, or not an object with the required fields. */
  Malformed: 'malformed',
  /** A message whose `type` is not one of this protocol's. */
  UnknownType: 'unknown-type'
} as const

export type ProtocolErrorCode = typeof ProtocolErrorCode[keyof typeof ProtocolErrorCode]

/** Reports bytes that are not a valid message or record of this protocol. */
export class ProtocolError extends Error {
  override readonly name = 'ProtocolError'

  constructor (readonly code: ProtocolErrorCode, message: string, options?: ErrorOptions) {
    super(message, options)
  }
}
