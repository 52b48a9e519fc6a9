/** Fetching of small JSON documents over HTTP. */
import { withTimeLimit } from '@arbutusloft/protocol'
import { request } from 'undici'
import type { Dispatcher } from 'undici'

const statusOk = 200

/** Fetches a JSON document; throws unless the complete response arrives with status 200 within the time limit. */
export async function fetchJson (url: string, dispatcher: Dispatcher, limitMilliseconds: number): Promise<unknown> {
  return await withTimeLimit(limitMilliseconds, async signal => {
    const response = await request(url, { dispatcher, signal })
    const body = await response.body.text()
    if (response.statusCode !== statusOk) {
      throw new Error(`${url} answered with status ${response.statusCode}`)
    }
    return JSON.parse(body) as unknown
  })
}
