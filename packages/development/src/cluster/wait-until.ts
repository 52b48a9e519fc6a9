/** Waiting in tests and measurements: for a condition or for a time. */

const pollIntervalMilliseconds = 20
const timeoutMilliseconds = 60_000

/**
 * Polls a condition until it holds. A condition that throws does not hold yet; the exception is discarded.
 * @throws {Error} after 60 s, so that a test whose condition never holds ends.
 */
export async function waitUntil (description: string, condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = Date.now() + timeoutMilliseconds
  while (Date.now() < deadline) {
    if (await isMet(condition)) {
      return
    }
    await sleep(pollIntervalMilliseconds)
  }
  throw new Error(`condition not met within ${timeoutMilliseconds} ms: ${description}`)
}

/** Waits for the given time. */
export async function sleep (milliseconds: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

async function isMet (condition: () => boolean | Promise<boolean>): Promise<boolean> {
  try {
    return await condition()
  } catch {
    // A request to a process that is down fails; the condition may hold later.
    return false
  }
}
