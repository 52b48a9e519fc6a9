/**
 * Protocol of relayed connections, on the peers' internal port. One HTTP/1.1 call in both directions at once carries a connection: the
 * request's body has the bytes to the target, the response's body those from it. The call is answered with 200 as soon as the target's
 * connection is made, with 502 if it can't be made, and with 503 if the peer can't tell. A trailer tells how the target has ended the
 * connection; without it the relay was lost, so that no answer looks complete because its relay ended. A peer that stops relays only
 * connections whose header tells that they end in time; earlier versions relay none then.
 */

/** Path of calls for relayed connections. */
export const targetRelayPath = '/target-connection'
/** Header with the `ip:port` of the target. */
export const relayedAddressHeader = 'x-arbutus-target-address'
/** Header with the id of the target. */
export const relayedTargetHeader = 'x-arbutus-target'
/** Header with the milliseconds in which the caller closes the connection at the latest; missing if it may last longer. */
export const relayedRemainingHeader = 'x-arbutus-remaining-milliseconds'
/** Trailer with the {@link RelayedEnd} of the target's connection. */
export const relayedEndTrailer = 'x-arbutus-target-end'

/** How the target has ended a relayed connection. */
export const RelayedEnd = {
  Closed: 'closed',
  Reset: 'reset'
} as const
export type RelayedEnd = typeof RelayedEnd[keyof typeof RelayedEnd]
