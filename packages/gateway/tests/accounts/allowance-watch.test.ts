/** Tests the log lines and metrics of refused requests: one line at the first and one after the last, and a bounded number of series. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { AllowanceOrigin } from '@arbutusloft/policy'
import type { AllowanceRefusal, AllowanceState } from '@arbutusloft/policy'
import { createBoundedLogger, GatewayMetrics } from '../../src/index.js'
import { AllowanceWatch } from '../../src/accounts/allowance-watch.js'

function stateOf (account: string, used = 30): AllowanceState & { readonly limit: number } {
  return { account, limit: 30, used, group: { seen: 3, known: 4 }, origin: AllowanceOrigin.Own }
}

function refusalOf (account: string): AllowanceRefusal {
  return { ...stateOf(account), retryAfter: 1_200 }
}

describe('AllowanceWatch', () => {
  let lines: Array<readonly [unknown, unknown]>
  let states: readonly AllowanceState[]
  let metrics: GatewayMetrics
  let watch: AllowanceWatch

  beforeEach(() => {
    mock.timers.enable({ apis: ['Date', 'setTimeout'], now: 1_000_000 })
    lines = []
    states = []
    metrics = new GatewayMetrics()
    const write = (line: string): boolean => {
      const { time: _time, level: _level, message, ...fields } = JSON.parse(line) as Record<string, unknown>
      return lines.push([message, fields]) > 0
    }
    const logger = createBoundedLogger({ fields: {}, write, linesPerSecond: 100 })
    watch = new AllowanceWatch({ allowances: { stateOf: account => stateOf(account, 12), states: () => states }, now: () => Date.now(), metrics, logger })
  })

  afterEach(() => {
    watch.close()
    mock.timers.reset()
  })

  it('logs the first refusal, and the end of refusals with their number', () => {
    for (let times = 0; times < 30; times += 1) {
      watch.onRefused(refusalOf('large'))
      mock.timers.tick(100)
    }
    assert.deepEqual(lines, [['account over its allowance', { account: 'large', limit: 30, used: 30, seen: 3, known: 4, origin: 'own', retryAfter: 1_200 }]])
    mock.timers.tick(2_000)
    assert.deepEqual(lines.slice(1), [['account within its allowance again', { account: 'large', limit: 30, used: 12, seen: 3, known: 4, refused: 30 }]])
    mock.timers.tick(10_000)
    assert.equal(lines.length, 2)
  })

  it('names 20 accounts in metrics and sums the others', async () => {
    states = Array.from({ length: 30 }, (_, index) => stateOf(`a${index}`, index))
    states.forEach(({ account }) => { watch.onRefused(refusalOf(account)) })
    const text = await metrics.registry.metrics()
    assert.equal(text.match(/allowance_refusals_total\{/g)?.length, 21)
    assert.match(text, /allowance_refusals_total\{account="others"\} 10/)
    assert.equal(text.match(/account_allowance\{[^}]*kind="used"\}/g)?.length, 21)
    assert.match(text, /account_allowance\{account="a29",kind="used"\} 29/)
    assert.match(text, /account_allowance\{account="others",kind="limit"\} 300/)
  })
})
