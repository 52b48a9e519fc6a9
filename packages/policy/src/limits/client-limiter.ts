/** Rate and concurrency limits of one client at one entry (a process that accepts requests of clients). */
import type { ClientDemand, ClientShare } from '@arbutusloft/protocol'
import { TokenBucket } from './token-bucket.js'

/** Limits of a client's plan, for the whole system. */
export interface ClientAllowance {
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  /** Maximum number of requests in flight. */
  readonly concurrency: number
}

/** The limit that rejected a request. */
export const LimitKind = {
  Requests: 'requests',
  Tokens: 'tokens',
  Concurrency: 'concurrency'
} as const

export type LimitKind = typeof LimitKind[keyof typeof LimitKind]

/** Rejection of a request, with the delay after which a retry can succeed. */
export interface LimitRefusal {
  readonly kind: LimitKind
  readonly retryAfterMilliseconds: number
}

/** Options of {@link ClientLimiter}. */
export interface ClientLimiterOptions {
  /** Capacity of the token buckets, in seconds of their rate. */
  readonly burstSeconds: number
  /** Milliseconds in which a share decays to the even share unless the scheduler that owns the client's limits renews it. */
  readonly shareDecayMilliseconds: number
}

export const defaultClientLimiterOptions: ClientLimiterOptions = {
  burstSeconds: 2,
  shareDecayMilliseconds: 10_000
}

/** Retry delay if the concurrency limit rejects a request; the time at which a request in flight will end is unknown. */
const concurrencyRetryMilliseconds = 1_000
const millisecondsPerSecond = 1_000

interface AllowanceShare {
  readonly requests: number
  readonly tokens: number
  readonly concurrency: number
}

/** Admits one client's requests within this entry's share of the client's allowance. */
export class ClientLimiter {
  readonly #requests: TokenBucket
  readonly #tokens: TokenBucket
  #allowance: ClientAllowance
  #share: AllowanceShare
  #shareReceivedAt: number
  #entries = 1
  #inFlight = 0
  #demandRequests = 0
  #demandTokens = 0
  #peakConcurrency = 0
  #demandStartedAt: number

  /** @param entries number of live entries */
  constructor (
    private readonly client: string,
    allowance: ClientAllowance,
    entries: number,
    now: number,
    private readonly options = defaultClientLimiterOptions
  ) {
    this.#allowance = allowance
    this.#entries = Math.max(1, entries)
    this.#share = evenShare(this.#entries)
    this.#shareReceivedAt = now
    this.#demandStartedAt = now
    const share = this.#share
    this.#requests = new TokenBucket(allowance.requestsPerSecond * share.requests, options.burstSeconds, now)
    this.#tokens = new TokenBucket(allowance.tokensPerSecond * share.tokens, options.burstSeconds, now)
  }

  /** Admits a request, or returns the limit that it exceeds. The caller must release an admitted request. */
  admit (tokens: number, now: number): LimitRefusal | null {
    this.#demandRequests += 1
    this.#demandTokens += tokens
    this.#peakConcurrency = Math.max(this.#peakConcurrency, this.#inFlight + 1)
    const share = this.#applyShare(now)
    if (this.#inFlight >= Math.max(1, Math.floor(this.#allowance.concurrency * share.concurrency))) {
      return { kind: LimitKind.Concurrency, retryAfterMilliseconds: concurrencyRetryMilliseconds }
    }
    const requestWait = this.#requests.waitFor(1, now)
    if (requestWait > 0) {
      return { kind: LimitKind.Requests, retryAfterMilliseconds: requestWait }
    }
    const tokenWait = this.#tokens.waitFor(tokens, now)
    if (tokenWait > 0) {
      return { kind: LimitKind.Tokens, retryAfterMilliseconds: tokenWait }
    }
    this.#requests.take(1, now)
    this.#tokens.take(tokens, now)
    this.#inFlight += 1
    return null
  }

  /** Releases an admitted request and replaces its estimated tokens by the tokens that it used. */
  release (estimatedTokens: number, usedTokens: number, now: number): void {
    this.#inFlight -= 1
    this.#tokens.take(usedTokens - estimatedTokens, now)
  }

  /** Applies a changed plan. */
  setAllowance (allowance: ClientAllowance, now: number): void {
    this.#allowance = allowance
    this.#applyShare(now)
  }

  /** Applies a changed number of live entries. */
  setEntries (entries: number): void {
    this.#entries = Math.max(1, entries)
  }

  /** Applies the share that the scheduler that owns the client's limits assigned to this entry. */
  setShare (share: ClientShare, now: number): void {
    this.#share = share
    this.#shareReceivedAt = now
    this.#applyShare(now)
  }

  /** Returns the demand since the last call, or null if there was none. */
  takeDemand (now: number): ClientDemand | null {
    const seconds = Math.max(1, now - this.#demandStartedAt) / millisecondsPerSecond
    const demand: ClientDemand = {
      client: this.client,
      requests: this.#demandRequests / seconds,
      tokens: this.#demandTokens / seconds,
      concurrency: Math.max(this.#peakConcurrency, this.#inFlight)
    }
    this.#demandRequests = 0
    this.#demandTokens = 0
    this.#peakConcurrency = 0
    this.#demandStartedAt = now
    return demand.requests === 0 && demand.concurrency === 0 ? null : demand
  }

  /** Whether no request of the client is in flight at this entry. */
  get isIdle (): boolean {
    return this.#inFlight === 0
  }

  #applyShare (now: number): AllowanceShare {
    const decayedFraction = Math.max(0, now - this.#shareReceivedAt) / this.options.shareDecayMilliseconds
    const share = interpolateShare(this.#share, evenShare(this.#entries), Math.min(1, decayedFraction))
    this.#requests.setRate(this.#allowance.requestsPerSecond * share.requests, now)
    this.#tokens.setRate(this.#allowance.tokensPerSecond * share.tokens, now)
    return share
  }
}

function evenShare (entries: number): AllowanceShare {
  const share = 1 / entries
  return { requests: share, tokens: share, concurrency: share }
}

function interpolateShare (from: AllowanceShare, to: AllowanceShare, progress: number): AllowanceShare {
  const interpolate = (left: number, right: number): number => left + (right - left) * progress
  return {
    requests: interpolate(from.requests, to.requests),
    tokens: interpolate(from.tokens, to.tokens),
    concurrency: interpolate(from.concurrency, to.concurrency)
  }
}
