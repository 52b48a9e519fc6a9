/** Rate and concurrency limits of one client at one entry. */
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
  /** Milliseconds in which a share that the owner does not renew decays to the even share. */
  readonly shareMilliseconds: number
}

export const defaultClientLimiter: ClientLimiterOptions = {
  burstSeconds: 2,
  shareMilliseconds: 10_000
}

const concurrencyRetryMilliseconds = 1_000
const millisecondsPerSecond = 1_000

interface Share {
  readonly requests: number
  readonly tokens: number
  readonly concurrency: number
}

/** Admits one client's requests within this entry's share of the client's allowance. */
export class ClientLimiter {
  readonly #requests: TokenBucket
  readonly #tokens: TokenBucket
  #allowance: ClientAllowance
  #share: Share
  #sharedAt: number
  #entries = 1
  #inFlight = 0
  #demandRequests = 0
  #demandTokens = 0
  #demandPeak = 0
  #demandSince: number

  constructor (
    private readonly client: string,
    allowance: ClientAllowance,
    entries: number,
    now: number,
    private readonly options = defaultClientLimiter
  ) {
    this.#allowance = allowance
    this.#entries = Math.max(1, entries)
    this.#share = evenShare(this.#entries)
    this.#sharedAt = now
    this.#demandSince = now
    const part = this.#share
    this.#requests = new TokenBucket(allowance.requestsPerSecond * part.requests, options.burstSeconds, now)
    this.#tokens = new TokenBucket(allowance.tokensPerSecond * part.tokens, options.burstSeconds, now)
  }

  /** Admits a request, or returns the limit that it exceeds. The caller must release an admitted request. */
  admit (tokens: number, now: number): LimitRefusal | null {
    this.#demandRequests += 1
    this.#demandTokens += tokens
    this.#demandPeak = Math.max(this.#demandPeak, this.#inFlight + 1)
    const part = this.#applyShare(now)
    if (this.#inFlight >= Math.max(1, Math.floor(this.#allowance.concurrency * part.concurrency))) {
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

  /** Applies the share that the owner of the client's limits assigned to this entry. */
  setShare (share: ClientShare, now: number): void {
    this.#share = share
    this.#sharedAt = now
    this.#applyShare(now)
  }

  /** Returns the demand since the last call, or null if there was none. */
  takeDemand (now: number): ClientDemand | null {
    const seconds = Math.max(1, now - this.#demandSince) / millisecondsPerSecond
    const demand: ClientDemand = {
      client: this.client,
      requests: this.#demandRequests / seconds,
      tokens: this.#demandTokens / seconds,
      concurrency: Math.max(this.#demandPeak, this.#inFlight)
    }
    this.#demandRequests = 0
    this.#demandTokens = 0
    this.#demandPeak = 0
    this.#demandSince = now
    return demand.requests === 0 && demand.concurrency === 0 ? null : demand
  }

  /** Whether no request of the client is in flight at this entry. */
  get idle (): boolean {
    return this.#inFlight === 0
  }

  #applyShare (now: number): Share {
    const age = Math.max(0, now - this.#sharedAt) / this.options.shareMilliseconds
    const part = decayedShare(this.#share, evenShare(this.#entries), Math.min(1, age))
    this.#requests.setRate(this.#allowance.requestsPerSecond * part.requests, now)
    this.#tokens.setRate(this.#allowance.tokensPerSecond * part.tokens, now)
    return part
  }
}

function evenShare (entries: number): Share {
  const part = 1 / entries
  return { requests: part, tokens: part, concurrency: part }
}

function decayedShare (from: Share, to: Share, progress: number): Share {
  const mix = (left: number, right: number): number => left + (right - left) * progress
  return {
    requests: mix(from.requests, to.requests),
    tokens: mix(from.tokens, to.tokens),
    concurrency: mix(from.concurrency, to.concurrency)
  }
}
