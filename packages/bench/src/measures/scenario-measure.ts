/** Compares the policies in a scenario, in one run and with the same arrival times. */
import { FifoPolicy } from '../scenarios/policies/fifo-policy.js'
import { PermitPolicy } from '../scenarios/policies/permit-policy.js'
import { ReservePolicy } from '../scenarios/policies/reserve-policy.js'
import type { DispatchPolicy } from '../scenarios/policies/send-policy.js'
import { runPolicy } from '../scenarios/run-policy.js'
import type { PolicyResult } from '../scenarios/run-policy.js'
import { scenarios } from '../scenarios/scenario.js'
import type { Scenario } from '../scenarios/scenario.js'
import type { Measurement } from './measure.js'

const onlineAndBatch = { online: true, batch: true } as const
const percent = 100

/** One measurement for each scenario. */
export const scenarioMeasurements: readonly Measurement[] = scenarios.map(scenario => ({
  name: scenario.name,
  description: `policies compared: ${scenario.description}`,
  run: async print => await comparePolicies(scenario, print)
}))

/**
 * Runs online work alone and batch work alone as baselines, then both kinds of work under each policy. The online latency
 * of a policy is compared with that of online work alone. Its batch throughput is compared with the capacity that online
 * work alone leaves.
 */
async function comparePolicies (scenario: Scenario, print: (line: string) => void): Promise<unknown> {
  // Reports call the system's own policy `ours`.
  const permitPolicyOptions = { ...scenario, name: 'ours', revokes: true, feedback: true, headroom: 1 }
  const alone = await runPolicy(scenario, new PermitPolicy({ ...permitPolicyOptions, name: 'online alone' }), { online: true, batch: false })
  const batchAlone = await runPolicy(scenario, new FifoPolicy(scenario), { online: false, batch: true })
  const remainingTokensPerSecond = batchAlone.batchTokensPerSecond - alone.onlineTokensPerSecond
  print(`online alone leaves ${remainingTokensPerSecond.toFixed(0)} of ${batchAlone.batchTokensPerSecond.toFixed(0)} tokens a second for batch`)
  print(formatResult(alone, alone, remainingTokensPerSecond))
  const policies: ReadonlyArray<() => DispatchPolicy> = [
    () => new FifoPolicy(scenario),
    () => new ReservePolicy(scenario),
    () => new PermitPolicy(permitPolicyOptions),
    () => new PermitPolicy({ ...permitPolicyOptions, name: 'ours without revocation', revokes: false }),
    () => new PermitPolicy({ ...permitPolicyOptions, name: 'ours without feedback', feedback: false })
  ]
  const results: PolicyResult[] = []
  for (const create of policies) {
    const run = await runPolicy(scenario, create(), onlineAndBatch)
    results.push(run)
    print(formatResult(run, alone, remainingTokensPerSecond))
  }
  // `leftTokensPerSecond` is the capacity for batch work that online work alone leaves.
  return { alone, batchAlone, leftTokensPerSecond: remainingTokensPerSecond, policies: results }
}

/** Formats the result of a run for printing. */
function formatResult (run: PolicyResult, alone: PolicyResult, remainingTokensPerSecond: number): string {
  const first = run.timeToFirstToken
  const gap = run.timeBetweenTokens
  const parts = [
    run.policy.padEnd(24),
    `time to first token p50/p95/p99 ${first.p50.toFixed(0)}/${first.p95.toFixed(0)}/${first.p99.toFixed(0)} ms (p99 ${(first.p99 / alone.timeToFirstToken.p99).toFixed(2)} times online alone)`,
    `time between tokens p50/p95/p99 ${gap.p50.toFixed(0)}/${gap.p95.toFixed(0)}/${gap.p99.toFixed(0)} ms`,
    `batch ${run.batchTokensPerSecond.toFixed(0)} tokens/s (${(run.batchTokensPerSecond / remainingTokensPerSecond).toFixed(2)} of what is left)`,
    `wasted ${(run.wastedPart * percent).toFixed(1)}% of batch tokens`,
    run.revocation.count === 0 ? '' : `revoked within ${run.revocation.p99.toFixed(0)} ms (${run.revocation.count})`
  ]
  return parts.join('  ')
}
