/** Publishes configuration lists over the operators' API. */
import { ListName } from '@arbutusloft/protocol'

/** Thrown if the operators' API rejects a list. */
export class PublishError extends Error {
  override readonly name = 'PublishError'
}

/**
 * Replaces both lists. The plans list assigns clients to plans that the usage list defines, so the usage list is published first.
 * @throws {PublishError} if the operators' API rejects a list.
 */
export async function publishLists (
  operatorAddress: string,
  operatorKey: string,
  lists: { readonly plans: string, readonly usage: string }
): Promise<void> {
  await publish(operatorAddress, operatorKey, ListName.Usage, lists.usage)
  await publish(operatorAddress, operatorKey, ListName.Plans, lists.plans)
}

async function publish (address: string, key: string, list: ListName, text: string): Promise<void> {
  const url = `http://${address}/admin/lists/${list}`
  const headers = { authorization: `Bearer ${key}` }
  const current = await fetch(url, { headers })
  await current.text()
  const response = await fetch(url, {
    method: 'PUT',
    headers: { ...headers, 'if-match': current.headers.get('etag') ?? '' },
    body: text
  })
  const responseText = await response.text()
  if (!response.ok) {
    throw new PublishError(`publishing the ${list} list failed with status ${response.status}: ${responseText}`)
  }
}
