/** Addresses as texts. */

/** An IP number and a port. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** Parses `ip:port`, which settings have checked. */
export function parseAddress (text: string): Address {
  const colon = text.lastIndexOf(':')
  return {
    host: text.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(text.slice(colon + 1))
  }
}
