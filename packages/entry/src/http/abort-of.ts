/** Abort signals for requests whose callers go away. */
import type { ServerResponse } from 'node:http'

/** A signal that aborts when the connection closes before the answer is complete. */
export function abortOf (response: ServerResponse): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => {
    if (!response.writableEnded) {
      controller.abort()
    }
  })
  return controller.signal
}
