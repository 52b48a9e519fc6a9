/**
 * Measures what allowances of accounts cost an owner with 12, 76 and 300 instances: datagrams, and processor time for each request and for a takeover. Run
 * `node packages/fleet-model/dist/tests/measure/allowance-cost.js` on a quiet machine.
 */
import { AccountAllowances, AccountDirectory, GrantedUsage, maximumEntryBytes } from '@arbutusloft/policy'
import type { Account, AllowanceOptions } from '@arbutusloft/policy'
import { simulateAllowances } from '../../src/index.js'

const options: AllowanceOptions = { windowMilliseconds: 5_000, overage: 0.1, slack: 20 }
const accountCount = 73
/** Instances, and requests a second of all accounts together. */
const sizes = [[12, 32], [76, 294], [300, 1_200]] as const
/** Share by which limits exceed the usual load. */
const spareShare = 1.3
const modelMilliseconds = 20_000
const decisions = 200_000
const grantsOfHolder = 20
const start = 1_700_000_000_000
const upMilliseconds = 60_000
const owner = { address: '10.0.0.1', incarnation: 1 }

function accountsFor (perSecond: number): readonly Account[] {
  // Five large accounts send five times as much as the others.
  const weights = Array.from({ length: accountCount }, (_, index) => index < 5 ? 5 : 1)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return weights.map((weight, index) => ({ name: `account-${index}`, keys: [], rank: null, requestsPerSecond: weight / total * perSecond * spareShare, burst: 10 * weight }))
}

/** Returns the datagrams of all owners a second, and the reports of holders at the loss of the owner. */
function countDatagrams (instances: number, perSecond: number): { readonly charges: number, readonly reports: number } {
  const accounts = accountsFor(perSecond)
  const { chargesSent, reportsSent } = simulateAllowances({
    instances,
    services: 1,
    milliseconds: modelMilliseconds,
    options,
    configurations: [[0, accounts]],
    demands: accounts.map(({ name, requestsPerSecond }) => ({ name, steps: [[0, requestsPerSecond / spareShare]], atMost: Infinity })),
    waitingShare: 0.1,
    lostShare: 0,
    losses: [{ at: modelMilliseconds / 2, instances: [0], restartAfter: Infinity }],
    stops: [],
    divisions: [],
    views: []
  }, 1)
  return { charges: chargesSent / modelMilliseconds * 1_000, reports: reportsSent }
}

function createAllowances (accounts: readonly Account[], instances: number): AccountAllowances {
  const allowances = new AccountAllowances(start - upMilliseconds, options)
  allowances.setAccounts(new AccountDirectory(accounts))
  allowances.setGroup({ seen: instances, known: instances }, start)
  return allowances
}

/** Returns the microseconds that a request costs its owner, with the messages that it composes. */
function measureDecision (instances: number, perSecond: number, factor: number): number {
  const accounts = accountsFor(perSecond)
  const allowances = createAllowances(accounts, instances)
  const startedAt = performance.now()
  let sentAt = start
  for (let index = 0; index < decisions; index += 1) {
    const now = start + index * 1_000 / (perSecond * factor)
    const permit = `10.0.0.1/k3x9z1/${index.toString(36)}`
    if (allowances.request({ permit, holder: '10.0.0.1', account: `account-${index % accountCount}` }, now) === null) {
      allowances.onGranted(permit, now)
    }
    if (now - sentAt >= 100) {
      sentAt = now
      allowances.takeUnsent(maximumEntryBytes, now)
    }
  }
  return (performance.now() - startedAt) * 1_000 / decisions
}

/** Returns the milliseconds that a new owner needs for the reports of all holders, and for the first decision on each account. */
function measureTakeover (instances: number): number {
  const accounts = accountsFor(instances)
  const allowances = createAllowances(accounts, instances)
  const reports = Array.from({ length: instances }, (_, holder) => {
    const usage = new GrantedUsage(options.windowMilliseconds)
    for (let grant = 0; grant < grantsOfHolder; grant += 1) {
      usage.add(`p${holder}/${grant}`, `account-${(holder * 7 + grant) % accountCount}`, owner, start - grant * 250)
    }
    return usage.reportsFor({ address: '10.0.0.2', incarnation: 1 }, start)
  })
  const startedAt = performance.now()
  reports.forEach((parts, holder) => { parts.forEach(report => { allowances.onUsage(`h${holder}`, report, start) }) })
  accounts.forEach(({ name }) => allowances.stateOf(name, start))
  return performance.now() - startedAt
}

for (const [instances, perSecond] of sizes) {
  const { charges, reports } = countDatagrams(instances, perSecond)
  console.log(JSON.stringify({
    instances,
    perSecond,
    chargesDatagramsPerSecond: charges,
    reportsAtChange: reports,
    microsecondsOfRequest: measureDecision(instances, perSecond, 1),
    microsecondsOfRequestInFlood: measureDecision(instances, perSecond, 4.7),
    takeoverMilliseconds: measureTakeover(instances)
  }))
}
