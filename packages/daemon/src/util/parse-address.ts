/** Parsing of network addresses. */

/** An IP address and a port. */
export interface Address {
  /** IPv4 address, or IPv6 address without brackets. */
  readonly host: string
  readonly port: number
}

/** Parses `ip:port` or `[ip]:port`. The text is not validated; the settings loader has done so. */
export function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  return {
    host: text.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(text.slice(colon + 1))
  }
}
