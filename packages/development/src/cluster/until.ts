/** Waiting on conditions. */

const pollMilliseconds = 20
const greatestMilliseconds = 60_000

/** Waits until the condition holds; the limit only ends tests whose condition never comes. */
export async function until (what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = Date.now() + greatestMilliseconds
  while (Date.now() < deadline) {
    if (await holds(condition)) {
      return
    }
    await pause(pollMilliseconds)
  }
  throw new Error(`waited in vain: ${what}`)
}

/** Waits for a time. */
export async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

async function holds (condition: () => boolean | Promise<boolean>): Promise<boolean> {
  try {
    return await condition()
  } catch {
    // A process that is down answers nothing; the condition may hold later.
    return false
  }
}
