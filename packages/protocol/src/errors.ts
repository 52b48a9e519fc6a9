/** Errors of the protocol layer. */

/** Reasons for which bytes are refused as a message or record. */
export const ProtocolErrorCode = {
  Malformed: 'malformed',
  UnknownType: 'unknown-type'
} as const

export type ProtocolErrorCode = typeof ProtocolErrorCode[keyof typeof ProtocolErrorCode]

/** Bytes that are not a message or record of this protocol. */
export class ProtocolError extends Error {
  override readonly name = 'ProtocolError'

  constructor (readonly code: ProtocolErrorCode, message: string, options?: ErrorOptions) {
    super(message, options)
  }
}
