/** A logger for tests that collects lines instead of writing them. */
import { createBoundedLogger } from '../../src/index.js'
import type { Logger } from '../../src/index.js'

/** Creates a logger that appends lines to the given array. */
export function createTestLogger (lines: string[] = []): Logger {
  return createBoundedLogger({ fields: {}, write: line => lines.push(line) > 0, linesPerSecond: 1_000 })
}
