import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AllowanceSplit } from '../../src/limits/allowance-split.js'
import { ClientLimiter, defaultClientLimiterOptions, LimitKind } from '../../src/limits/client-limiter.js'

const allowance = { requestsPerSecond: 10, tokensPerSecond: 1_000, concurrency: 100 }

function countAdmitted (limiter: ClientLimiter, attempts: number, now: number): number {
  let count = 0
  for (let index = 0; index < attempts; index++) {
    if (limiter.admit(1, now) === null) {
      limiter.release(1, 1, now)
      count += 1
    }
  }
  return count
}

void describe('ClientLimiter', () => {
  void it('admits a burst and then the sustained rate, and returns the retry delay', () => {
    const limiter = new ClientLimiter('c', allowance, 1, 0)
    assert.equal(countAdmitted(limiter, 100, 0), 20)
    const refusal = limiter.admit(1, 0)
    assert.equal(refusal?.kind, LimitKind.Requests)
    assert.equal(refusal?.retryAfterMilliseconds, 100)
    assert.equal(countAdmitted(limiter, 100, 1_000), 10)
  })

  void it('uses an even share until it receives one, and decays to it when the owner stops renewing it', () => {
    const limiter = new ClientLimiter('c', allowance, 4, 0)
    assert.equal(countAdmitted(limiter, 100, 0), 5)
    limiter.setShare({ client: 'c', requests: 1, tokens: 1, concurrency: 1 }, 0)
    assert.equal(countAdmitted(limiter, 100, 1_000), 10)
    const afterDecay = defaultClientLimiterOptions.shareDecayMilliseconds * 3
    assert.equal(countAdmitted(limiter, 100, afterDecay), 5)
  })

  void it('counts estimated tokens, and corrects them when the request ends', () => {
    const limiter = new ClientLimiter('c', allowance, 1, 0)
    assert.equal(limiter.admit(2_000, 0), null)
    assert.equal(limiter.admit(100, 0)?.kind, LimitKind.Tokens)
    limiter.release(2_000, 500, 0)
    assert.equal(limiter.admit(100, 0), null)
  })

  void it('limits the requests in flight', () => {
    const limiter = new ClientLimiter('c', { ...allowance, concurrency: 2 }, 1, 0)
    assert.equal(limiter.admit(1, 0), null)
    assert.equal(limiter.admit(1, 0), null)
    assert.equal(limiter.admit(1, 0)?.kind, LimitKind.Concurrency)
  })
})

void describe('AllowanceSplit', () => {
  void it('follows demand and reserves an even part for every entry', () => {
    const split = new AllowanceSplit()
    const demand = { client: 'c', requests: 30, tokens: 0, concurrency: 1 }
    split.update('busy', demand, 2, 0)
    const idle = split.update('idle', { ...demand, requests: 10 }, 2, 0)
    const busy = split.update('busy', demand, 2, 0)
    assert.ok(busy.requests > idle.requests)
    assert.ok(Math.abs(busy.requests + idle.requests - 1) < 1e-9)
  })

  void it('never assigns shares that add up to more than the allowance', () => {
    const split = new AllowanceSplit()
    let sum = 0
    const entries = Array.from({ length: 12 }, (_, index) => `e${index}`)
    for (let round = 0; round < 2; round++) {
      sum = 0
      for (const [index, entry] of entries.entries()) {
        sum += split.update(entry, { client: 'c', requests: index, tokens: index, concurrency: index }, 12, 0).requests
      }
    }
    assert.ok(sum <= 1 + 1e-9)
  })
})
