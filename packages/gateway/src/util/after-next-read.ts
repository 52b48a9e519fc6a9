/** Runs a function once the event loop has read what has already arrived on sockets whose reading was just resumed. */
export function afterNextRead (run: () => void): void {
  // A socket that is resumed now is polled in the next turn of the loop, which ends with the second callback.
  setImmediate(() => { setImmediate(run) })
}
