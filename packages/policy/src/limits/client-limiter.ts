/** One client's limits at one entry. */
import type { ClientDemand, ClientShare } from '@arbutusloft/protocol'
import { TokenBucket } from './token-bucket.js'

/** What a client's plan allows in the whole system. */
export interface ClientAllowance {
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  /** Requests in flight at once. */
  readonly concurrency: number
}

/** Which limit refused a request. */
export const LimitKind = {
  Requests: 'requests',
  Tokens: 'tokens',
  Concurrency: 'concurrency'
} as const

export type LimitKind = typeof LimitKind[keyof typeof LimitKind]

/** A refusal, with the time after which a try is sensible. */
export interface LimitRefusal {
  readonly kind: LimitKind
  readonly retryAfterMilliseconds: number
}

/** Options of {@link ClientLimiter}. */
export interface ClientLimiterOptions {
  /** Seconds of earnings that may be spent at once. */
  readonly burstSeconds: number
  /** Milliseconds after which an unrenewed share has decayed to the even one. */
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

/** Admits one client's requests by this entry's part of the client's allowance. */
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

  /** Admits a request, or says what refuses it. An admitted request must be released. */
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

  /** A request ended; the estimate taken at admission is corrected by the tokens it used. */
  release (estimatedTokens: number, usedTokens: number, now: number): void {
    this.#inFlight -= 1
    this.#tokens.take(usedTokens - estimatedTokens, now)
  }

  /** The plan changed. */
  setAllowance (allowance: ClientAllowance, now: number): void {
    this.#allowance = allowance
    this.#applyShare(now)
  }

  /** The number of live entries changed. */
  setEntries (entries: number): void {
    this.#entries = Math.max(1, entries)
  }

  /** The owner of the client's limits gave this entry a part. */
  setShare (share: ClientShare, now: number): void {
    this.#share = share
    this.#sharedAt = now
    this.#applyShare(now)
  }

  /** Demand since the last call, or null if there was none. */
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

  /** Whether nothing of the client is in flight here. */
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
