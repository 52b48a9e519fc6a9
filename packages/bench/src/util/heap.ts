/** Measurement of the memory that values occupy. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Returns the number of bytes in use after a garbage collection, on the heap and in array buffers. */
export function bytesInUse (): number {
  // Collects twice, since a collection can release references (as of finalizers) to objects that only the next one frees.
  collectGarbage()
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Calls a function and returns its value with the number of bytes that the value retains. */
export function measureRetainedBytes<T> (create: () => T): { readonly bytes: number, readonly value: T } {
  const before = bytesInUse()
  const value = create()
  return { bytes: bytesInUse() - before, value }
}
