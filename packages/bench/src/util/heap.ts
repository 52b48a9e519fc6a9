/** Memory that values take. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collect = runInNewContext('gc') as () => void

/** Bytes in use after a collection, on and off the heap. */
export function bytesInUse (): number {
  collect()
  collect()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Bytes that what the function returns keeps in use. */
export function bytesOf<T> (create: () => T): { readonly bytes: number, readonly value: T } {
  const before = bytesInUse()
  const value = create()
  return { bytes: bytesInUse() - before, value }
}
