/** Handler of `/v1/addresses`, which lists the entries that a caller can send requests to. */
import { MemberKind } from '@arbutusloft/adapters'
import type { Membership } from '@arbutusloft/daemon'
import { sendJson } from '../http/send-json.js'
import type { ClientExchange } from '../pipeline/exchange.js'

/** Options of {@link listAddresses}. */
export interface AddressesOptions {
  readonly membership: Membership
  /** Milliseconds for which callers may cache the list. */
  readonly addressMilliseconds: number
}

/** Lists the live entries in random order, those in the caller's availability zone (`?zone=`) first. */
export async function listAddresses (exchange: ClientExchange, options: AddressesOptions): Promise<void> {
  const zone = exchange.query.get('zone')
  const entries = options.membership.live(MemberKind.Entry).map(entry => ({ entry, rank: Math.random() }))
  entries.sort((left, right) => {
    const nearer = Number(right.entry.zone === zone) - Number(left.entry.zone === zone)
    return nearer !== 0 ? nearer : left.rank - right.rank
  })
  sendJson(exchange.response, {
    object: 'list',
    data: entries.map(({ entry }) => ({ address: entry.address, zone: entry.zone })),
    time_to_live_ms: options.addressMilliseconds
  })
}
