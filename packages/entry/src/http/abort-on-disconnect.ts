/** Abort signals for requests whose callers disconnect. */
import type { ServerResponse } from 'node:http'

/** Returns a signal that aborts when the connection closes before the response is complete. */
export function abortOnDisconnect (response: ServerResponse): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => {
    if (!response.writableEnded) {
      controller.abort()
    }
  })
  return controller.signal
}
