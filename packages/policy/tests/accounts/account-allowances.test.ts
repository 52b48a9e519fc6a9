/** Tests the allowances of accounts at one owner, without a network. */
import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { AccountAllowances, AccountDirectory, AllowanceOrigin, maximumEntryBytes, splitToDatagrams } from '../../src/index.js'
import type { AccountEntry, AllowanceOptions } from '../../src/index.js'

const options: AllowanceOptions = { windowMilliseconds: 5_000, overage: 0.1, slack: 20 }
/** A time long after the start of the process, at the beginning of a bucket. */
const start = 1_700_000_000_000
const account = 'large'

function directory (requestsPerSecond = 10, burst = 30): AccountDirectory {
  return new AccountDirectory([
    { name: account, keys: [], rank: null, requestsPerSecond, burst },
    { name: 'unlimited', keys: [], rank: null, requestsPerSecond: 0, burst: 5 }
  ])
}

let allowances: AccountAllowances
let sequence = 0

function createAllowances (upFor = 60_000): AccountAllowances {
  const created = new AccountAllowances(start - upFor, options)
  created.setAccounts(directory())
  return created
}

/** Asks for slots which are granted at once; returns the number granted. */
function grant (count: number, now: number, name = account): number {
  let granted = 0
  for (let index = 0; index < count; index += 1) {
    sequence += 1
    const permit = `p${sequence}`
    if (allowances.request({ permit, holder: 'h', account: name }, now) === null) {
      allowances.onGranted(permit, now)
      granted += 1
    }
  }
  return granted
}

describe('AccountAllowances', () => {
  beforeEach(() => { allowances = createAllowances() })

  it('grants the rate and the burst in one window, and again once it has passed', () => {
    assert.equal(grant(200, start), 80)
    assert.equal(grant(200, start + 5_000), 0, 'the bucket ends 100 ms after it began')
    assert.equal(grant(200, start + 5_100), 80)
  })

  it('refuses nothing to requests that waited at an owner which was lost, and still counts those that it granted', () => {
    const entry: AccountEntry = [account, 50, 0, 20]
    allowances.onCharges('lost', { incarnation: 1, at: start, entries: [entry] }, start)
    allowances.onCharges('other', { incarnation: 1, at: start, entries: [[account, 3]] }, start)
    allowances.setSeen(new Set(['this', 'other']))
    assert.equal(grant(200, start + 300), 57)
  })

  it('refuses nothing to an account that sends its rate, and bounds one that sends 4.7 times its usual load', () => {
    for (let at = 0; at < 20_000; at += 100) {
      assert.equal(grant(1, start + at), 1)
    }
    const grants: number[] = []
    for (let at = 20_000; at < 40_000; at += 20) {
      grants.push(...Array.from({ length: grant(1, start + at) }, () => at))
    }
    const most = Math.max(...grants.map(at => grants.filter(other => other >= at && other < at + 5_000).length))
    assert.ok(most <= 80, `${most} of 80 in a window`)
  })

  it('tells when the window has room', () => {
    grant(40, start)
    grant(40, start + 1_000)
    const refusal = allowances.request({ permit: 'x', holder: 'h', account }, start + 2_050)
    assert.equal(refusal?.retryAfter, 3_050)
    assert.equal(refusal.limit, 80)
    assert.equal(allowances.request({ permit: 'x', holder: 'h', account }, start + 2_050 + refusal.retryAfter), null)
  })

  it('tells when there is room after the whole allowance was granted at once', () => {
    for (const offset of [0, 30, 99]) {
      allowances = createAllowances()
      grant(80, start + offset)
      const refusal = allowances.request({ permit: 'x', holder: 'h', account }, start + offset)
      assert.equal(refusal?.retryAfter, 5_100 - offset)
      assert.equal(allowances.request({ permit: 'x', holder: 'h', account }, start + 5_100), null)
    }
  })

  it('charges a repeated request once, and counts a waiting one until it is granted or given up', () => {
    for (let times = 0; times < 3; times += 1) {
      allowances.request({ permit: 'a', holder: 'h', account }, start)
      allowances.request({ permit: 'b', holder: 'other', account }, start)
    }
    assert.equal(allowances.stateOf(account, start).used, 2)
    allowances.onGranted('a', start + 900)
    allowances.onGranted('a', start + 1_200)
    allowances.forgetHolder('other')
    assert.equal(allowances.stateOf(account, start + 5_900).used, 1, 'counts from its grant on')
    assert.equal(allowances.stateOf(account, start + 6_000).used, 0)
  })

  it('forgets a waiting request whose holder does not repeat it', () => {
    allowances.request({ permit: 'a', holder: 'h', account }, start)
    grant(1, start + 3_000)
    assert.equal(allowances.stateOf(account, start + 3_000).used, 1)
  })

  it('takes a charge back once, whether it was granted or not', () => {
    allowances.request({ permit: 'a', holder: 'h', account }, start)
    allowances.request({ permit: 'b', holder: 'h', account }, start)
    allowances.request({ permit: 'c', holder: 'h', account }, start)
    allowances.onGranted('b', start)
    allowances.onGranted('c', start)
    for (let times = 0; times < 2; times += 1) {
      allowances.refund('a')
      allowances.refund('b')
      allowances.withdraw('c')
    }
    assert.equal(allowances.stateOf(account, start).used, 1)
  })

  it('limits no account without a rate or unknown to the configuration, and counts both', () => {
    assert.equal(grant(500, start, 'unlimited'), 500)
    assert.equal(grant(500, start, 'unknown'), 500)
    assert.equal(allowances.stateOf('unknown', start).used, 500)
    assert.equal(allowances.stateOf('unknown', start).limit, null)
  })

  it('applies a lowered and a raised limit at once', () => {
    grant(50, start)
    allowances.setAccounts(directory(5, 0))
    assert.equal(grant(1, start + 1_000), 0)
    allowances.setAccounts(directory(20, 0))
    assert.equal(grant(100, start + 1_000), 50)
  })

  it('counts what another owner reports by its own clock, however often and in whatever order reports arrive', () => {
    const clockDifference = 12_345
    const report = (sentAt: number, entry: AccountEntry): void => {
      allowances.onCharges('other', { incarnation: 7, at: sentAt + clockDifference, entries: [entry] }, sentAt + 1)
    }
    report(start, [account, 0, 0, 30])
    report(start + 100, [account, 2, 1, 35, 0, 5])
    report(start + 200, [account, 0, 2, 35, 1, 7])
    report(start + 250, [account, 0, 2, 35, 1, 7])
    assert.equal(allowances.stateOf(account, start + 300).used, 42)
    assert.equal(grant(100, start + 300), 38)
    assert.equal(allowances.stateOf(account, start + 5_600).used, 0)
  })

  it('tells an owner for how long its clock has stood still, also if it has reported since', () => {
    const owner = { address: 'other', incarnation: 7 }
    allowances.onCharges('other', { incarnation: 7, at: start, entries: [[account, 0, 0, 5]] }, start + 1)
    assert.ok(allowances.lagOf(owner, start + 100, start + 103) < 10)
    assert.ok(allowances.lagOf(owner, start + 100, start + 4_101) >= 3_990)
    allowances.onCharges('other', { incarnation: 7, at: start + 100, entries: [[account, 0, 0, 5]] }, start + 4_101)
    assert.ok(allowances.lagOf(owner, start + 110, start + 4_111) >= 3_990)
    allowances.onCharges('other', { incarnation: 7, at: start + 4_200, entries: [[account, 0, 0, 5]] }, start + 4_201)
    assert.ok(allowances.lagOf(owner, start + 4_210, start + 4_211) < 10)
    assert.equal(allowances.lagOf({ ...owner, incarnation: 8 }, 0, start), 0)
  })

  it('counts the waiting requests of another owner only while that repeats them', () => {
    allowances.onCharges('other', { incarnation: 7, at: start, entries: [[account, 30]] }, start)
    assert.equal(grant(100, start), 50)
    assert.equal(allowances.stateOf(account, start + 1_000).used, 50)
  })

  it('takes the greater of what a former owner and the holders report', () => {
    // The owner has reported 20 requests of two holders, and failed before it reported 10 more.
    allowances.onCharges('former', { incarnation: 7, at: start, entries: [[account, 0, 10, 20]] }, start)
    allowances.onUsage('h1', { owners: ['former/7'], entries: [[account, 0, 10, 12, 1, 4]] }, start + 50)
    allowances.onUsage('h2', { owners: ['former/7'], entries: [[account, 0, 10, 8, 1, 6]] }, start + 50)
    assert.equal(allowances.stateOf(account, start + 50).used, 30)
    allowances.onUsage('h2', { owners: ['former/7'], entries: [[account, 0, 13, 8, 4, 6]] }, start + 350)
    assert.equal(allowances.stateOf(account, start + 350).used, 30, 'a repeated report counts once')
    assert.equal(grant(100, start + 350), 50)
    assert.equal(allowances.stateOf(account, start + 350).origin, AllowanceOrigin.Holders)
  })

  it('does not count requests twice of which the owner and the holders tell times that differ a little', () => {
    const buckets = Array.from({ length: 45 }, (_, index) => index + 1)
    allowances.onCharges('former', { incarnation: 7, at: start, entries: [[account, 0, ...buckets.flatMap(bucket => [bucket, bucket % 3])]] }, start)
    const total = buckets.reduce((sum, bucket) => sum + bucket % 3, 0)
    for (const shift of [-1, 0, 1]) {
      allowances.onUsage('h1', { owners: ['former/7'], entries: [[account, 0, ...buckets.flatMap(bucket => [bucket + shift, bucket % 3])]] }, start + 20)
      const { used } = allowances.stateOf(account, start + 20)
      assert.ok(used >= total && used <= total + 3, `${used} of ${total} with reports ${shift} buckets older`)
    }
  })

  it('grants the rate and the slack at once after a cold start, and the burst after a window', () => {
    allowances = createAllowances(0)
    allowances.setAccounts(directory(10, 100))
    // A margin of 35 of the burst of 100.
    assert.equal(grant(200, start), 35)
    assert.equal(grant(200, start + 1_000), 10)
    assert.equal(allowances.stateOf(account, start).origin, AllowanceOrigin.ColdStart)
    allowances = createAllowances(5_000)
    allowances.setAccounts(directory(10, 100))
    assert.equal(grant(200, start), 150)
  })

  it('assumes nothing once half of the instances are known to have been up before', () => {
    allowances = createAllowances(0)
    allowances.setAccounts(directory(10, 100))
    allowances.setGroup({ seen: 5, known: 5 }, start)
    allowances.onStart('h1', start - 60_000)
    assert.equal(allowances.stateOf(account, start).origin, AllowanceOrigin.ColdStart)
    allowances.onStart('h2', start - 60_000)
    assert.equal(grant(200, start), 150)
  })

  it('takes other starts of the same time for no reason to assume less', () => {
    allowances = createAllowances(100)
    allowances.setAccounts(directory(10, 100))
    allowances.setGroup({ seen: 3, known: 3 }, start)
    allowances.onStart('h1', start - 300)
    allowances.onStart('h2', start - 200)
    assert.ok(grant(200, start) < 45)
  })

  it('grants a group its share, and single instances that are cut off a sixteenth of the margin besides', () => {
    allowances.setGroup({ seen: 60, known: 61 }, start)
    assert.equal(allowances.stateOf(account, start).limit, 80, 'the loss of one of 61 refuses nothing')
    const limitOf = (seen: number, known: number): number => {
      allowances.setGroup({ seen, known }, start)
      return allowances.stateOf(account, start).limit ?? Infinity
    }
    assert.equal(limitOf(1, 61), 3)
    assert.equal(limitOf(45, 61) + 16 * limitOf(1, 61) <= 80 * 1.1 + 20, true)
    for (let cutOff = 1; cutOff <= 16; cutOff += 1) {
      assert.ok(limitOf(61 - cutOff, 61) + cutOff * limitOf(1, 61) <= 108)
    }
    for (let part = 1; part < 61; part += 1) {
      assert.ok(limitOf(part, 61) + limitOf(61 - part, 61) <= 108)
    }
  })

  it('counts the requests of a larger group in part once instances are out of sight, and the later ones in full', () => {
    allowances.setGroup({ seen: 4, known: 4 }, start)
    grant(40, start)
    allowances.onCharges('other', { incarnation: 7, at: start, entries: [[account, 0, 0, 20]] }, start)
    assert.equal(allowances.stateOf(account, start + 100).used, 60)
    allowances.setGroup({ seen: 1, known: 4 }, start + 1_000)
    assert.equal(allowances.stateOf(account, start + 1_000).used, 15)
    // A quarter of the allowance of 80, and an eighth of the margin of 28.
    assert.equal(grant(100, start + 1_000), 8)
    assert.equal(allowances.stateOf(account, start + 1_100).used, 23)
    allowances.setGroup({ seen: 4, known: 4 }, start + 2_000)
    assert.equal(allowances.stateOf(account, start + 2_000).used, 68)
  })

  it('sends changed counts three times, within the bytes of a datagram, and all of them in turn', () => {
    const names = Array.from({ length: 200 }, (_, index) => `account-${index}`)
    names.forEach(name => { grant(1, start, name) })
    const sent = new Map<string, number>()
    for (let turn = 0; turn < 20; turn += 1) {
      const entries = allowances.takeUnsent(maximumEntryBytes, start + turn * 100)
      assert.equal(splitToDatagrams(entries).length, 1)
      entries.forEach(([name]) => sent.set(name, (sent.get(name) ?? 0) + 1))
    }
    assert.ok(names.every(name => sent.get(name) === 3), JSON.stringify([...new Set(sent.values())]))
    assert.equal(allowances.hasUnsent, false)
  })

  it('sends nothing of accounts without a limit', () => {
    grant(5, start, 'unlimited')
    assert.equal(allowances.hasUnsent, false)
  })

  it('remembers at most 10,000 accounts', () => {
    for (let index = 0; index < 12_000; index += 1) {
      grant(1, start + Math.floor(index / 1_000), `account-${index}`)
    }
    assert.equal(allowances.states(start + 100).length, 10_000)
  })
})
