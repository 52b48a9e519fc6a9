/** Creates budgets for tests. */
import { ByteBudget } from '@arbutusloft/policy'
import { GatewayMetrics, HeldBytes } from '../../src/index.js'
import { createTestLogger } from './test-logger.js'

const defaultBytes = 64_000_000

/** Returns what counts the held bytes of one process. */
export function createHeldBytes (bytes = defaultBytes): HeldBytes {
  return new HeldBytes(new ByteBudget(bytes), new GatewayMetrics(), createTestLogger())
}
