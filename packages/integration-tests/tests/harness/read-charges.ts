/** Reads charges over the operators' API. */
import { sample } from '@arbutusloft/development'
import type { ChargedRequests } from '../checkers/check-charges.js'
import type { Cluster } from '@arbutusloft/development'

/** Returns the charged requests of all clients as the running entry at this index reports them. */
export async function readCharges (cluster: Cluster, entryIndex = 0): Promise<readonly ChargedRequests[]> {
  const response = await fetch(`http://${cluster.operatorAddress(entryIndex)}/admin/charges`, {
    headers: { authorization: `Bearer ${sample.operator.key}` }
  })
  const { charges } = await response.json() as {
    readonly charges: ReadonlyArray<{ readonly client: string, readonly subject: string, readonly usage: { readonly requests: number } }>
  }
  return charges.map(({ client, subject, usage }) => ({ client, subject, requests: usage.requests }))
}
