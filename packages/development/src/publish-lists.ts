/** Publishing of lists over the operators' API. */
import { ListName } from '@arbutusloft/protocol'

/** The API refused a list. */
export class PublishError extends Error {
  override readonly name = 'PublishError'
}

/** Replaces both lists; the usage list goes first, since clients name its plans. */
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
  const present = await fetch(url, { headers })
  await present.text()
  const response = await fetch(url, {
    method: 'PUT',
    headers: { ...headers, 'if-match': present.headers.get('etag') ?? '' },
    body: text
  })
  const answer = await response.text()
  if (!response.ok) {
    throw new PublishError(`the ${list} list was refused: ${answer}`)
  }
}
