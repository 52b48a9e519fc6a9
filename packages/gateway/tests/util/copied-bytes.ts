/** Counts the bytes that code copies between buffers. */
import type { TestContext } from 'node:test'

/** Runs a function and returns how many bytes it has copied with `concat`, `from`, `set` and `copy`. */
export function countCopiedBytes (context: TestContext, run: () => void): number {
  let copied = 0
  const { concat, from } = Buffer
  const { set } = Uint8Array.prototype
  const { copy } = Buffer.prototype
  const mocks = [
    context.mock.method(Buffer, 'concat', (parts: readonly Uint8Array[], length?: number) => {
      copied += parts.reduce((sum, part) => sum + part.length, 0)
      return concat.call(Buffer, parts, length)
    }),
    context.mock.method(Buffer, 'from', (...values: Parameters<typeof Buffer.from>) => {
      copied += ArrayBuffer.isView(values[0]) ? values[0].byteLength : 0
      return from.apply(Buffer, values)
    }),
    context.mock.method(Uint8Array.prototype, 'set', function (this: Uint8Array, source: ArrayLike<number>, offset?: number) {
      copied += source.length
      set.call(this, source, offset)
    }),
    context.mock.method(Buffer.prototype, 'copy', function (this: Buffer, ...values: Parameters<Buffer['copy']>) {
      const length = copy.apply(this, values)
      copied += length
      return length
    })
  ]
  try {
    run()
  } finally {
    for (const mock of mocks) {
      mock.mock.restore()
    }
  }
  return copied
}
