/** Waiting for a time. */

/** Resolves after the time, or as soon as the signal aborts. */
export async function sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted === true) {
    return
  }
  await new Promise<void>(resolve => {
    const done = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', done)
      resolve()
    }
    const timer = setTimeout(done, milliseconds)
    signal?.addEventListener('abort', done)
  })
}
