/** Fetching of small JSON documents over HTTP. */
import { withTimeLimit } from '@arbutusloft/protocol'
import { request } from 'undici'
import type { Dispatcher } from 'undici'

const statusOk = 200

/** Fetches a JSON document; throws unless the complete response arrives with status 200 within the time limit. */
export async function fetchJson (url: string, dispatcher: Dispatcher, timeoutMilliseconds: number): Promise<unknown> {
  return await withTimeLimit(timeoutMilliseconds, async signal => {
    const response = await request(url, { dispatcher, signal })
    const body = await response.body.text()
    if (response.statusCode !== statusOk) {
      throw new Error(`${url} responded with status ${response.statusCode}`)
    }
    return JSON.parse(body) as unknown
  })
}
