/** Messages on the links between processes. */
export * from './message-type.js'
export * from './link-message.js'
export * from './permit-messages.js'
export * from './ledger-messages.js'
export * from './limit-messages.js'
export * from './configuration-messages.js'
export * from './handshake-messages.js'
