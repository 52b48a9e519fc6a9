/** Resolves after the given time. */
export async function sleep (milliseconds: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, milliseconds) })
}
