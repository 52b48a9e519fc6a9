/** One logical request for generation, over as many tries as it takes. */
import { TargetErrorCode } from '@arbutusloft/adapters'
import type { Engine, GeneratedToken, GenerationPath, GenerationUsage, TargetError } from '@arbutusloft/adapters'
import { backoffMilliseconds } from '@arbutusloft/policy'
import { createIdentifier } from '@arbutusloft/protocol'
import type { Result } from 'ts-results'
import { sleep } from '../util/sleep.js'

/** Options of {@link Generation}. */
export interface GenerationOptions {
  readonly engine: Engine
  readonly path: GenerationPath
  readonly body: Readonly<Record<string, unknown>>
  /** Receives each token of the answer once, in order. */
  readonly onToken: (token: GeneratedToken) => void
}

/** A target and where it is. */
export interface DispatchTarget {
  readonly target: string
  readonly address: string
}

/** Latencies of one try. */
export interface AttemptTimes {
  readonly timeToFirstToken: number | null
  readonly timeBetweenTokens: number | null
}

/** Resumes in a row that may bring no new token before the target is given up. */
const fruitlessResumes = 3
const resumeBackoff = { baseMilliseconds: 20, capMilliseconds: 500 } as const

/** A second answer did not begin like the first. */
class DivergenceError extends Error {
  override readonly name = 'DivergenceError'
}

/**
 * Delivers each token once, whatever happens in between: a cut stream is resumed at the
 * next token on a new connection, and after a move to another target the tokens that were
 * delivered already are compared and skipped.
 */
export class Generation {
  readonly #texts: string[] = []
  #stream: { readonly target: string, readonly dispatch: string } | null = null
  #finishReason: string | null = null
  #expected = 0
  #startedAt = 0
  #firstTokenAt: number | null = null
  #lastTokenAt = 0
  #tokensSeen = 0
  #recomputed = 0

  constructor (private readonly options: GenerationOptions) {}

  /** Number of tokens delivered. */
  get delivered (): number {
    return this.#texts.length
  }

  /** The answer's text so far. */
  get text (): string {
    return this.#texts.join('')
  }

  /** Reason for the end of a whole answer. */
  get finishReason (): string | null {
    return this.#finishReason
  }

  /** Tokens that a target generated although they had been delivered before. */
  get recomputed (): number {
    return this.#recomputed
  }

  /** Target that still holds the beginning of the answer, or null. */
  get resumableAt (): string | null {
    return this.#stream?.target ?? null
  }

  /** Latencies of the last try. */
  get times (): AttemptTimes {
    const gaps = this.#tokensSeen - 1
    const first = this.#firstTokenAt
    return {
      timeToFirstToken: first === null ? null : first - this.#startedAt,
      timeBetweenTokens: first === null || gaps < 1 ? null : (this.#lastTokenAt - first) / gaps
    }
  }

  /** Tries for the whole answer on one target. */
  async attempt (at: DispatchTarget, signal: AbortSignal): Promise<Result<GenerationUsage, TargetError>> {
    this.#startedAt = Date.now()
    this.#firstTokenAt = null
    this.#tokensSeen = 0
    let result = this.#stream?.target === at.target && this.#texts.length > 0
      ? await this.#resume(at, this.#stream.dispatch, signal)
      : await this.#begin(at, signal)
    result = await this.#resumeWhileFruitful(at, result, signal)
    if (result.err && result.val.code === TargetErrorCode.UnknownStream) {
      this.#stream = null
      result = await this.#begin(at, signal)
    }
    if (result.err && isFinal(result.val)) {
      this.#stream = null
    }
    return result
  }

  /** Tells the target to drop what it still holds of the stream. */
  async discard (addressOf: (target: string) => string | null): Promise<void> {
    const stream = this.#stream
    this.#stream = null
    const address = stream === null ? null : addressOf(stream.target)
    if (stream !== null && address !== null) {
      await this.options.engine.cancel(address, stream.dispatch)
    }
  }

  async #resumeWhileFruitful (
    at: DispatchTarget,
    first: Result<GenerationUsage, TargetError>,
    signal: AbortSignal
  ): Promise<Result<GenerationUsage, TargetError>> {
    let result = first
    let fruitless = 0
    while (fruitless < fruitlessResumes && this.#isResumable(result, signal)) {
      if (fruitless > 0) {
        await sleep(backoffMilliseconds(fruitless, Math.random(), resumeBackoff), signal)
      }
      const before = this.#texts.length
      result = await this.#resume(at, this.#stream?.dispatch ?? '', signal)
      fruitless = this.#texts.length > before ? 0 : fruitless + 1
    }
    return result
  }

  async #begin (at: DispatchTarget, signal: AbortSignal): Promise<Result<GenerationUsage, TargetError>> {
    const dispatch = createIdentifier('dispatch')
    this.#stream = { target: at.target, dispatch }
    this.#expected = 0
    const { path, body, engine } = this.options
    return await this.#guard(async abort => {
      return await engine.generate(at.address, { dispatch, path, body, signal: abort }, this.#sink())
    }, signal)
  }

  async #resume (
    at: DispatchTarget,
    dispatch: string,
    signal: AbortSignal
  ): Promise<Result<GenerationUsage, TargetError>> {
    const from = this.#texts.length
    this.#expected = from
    return await this.#guard(async abort => {
      return await this.options.engine.resume(at.address, { dispatch, from, signal: abort }, this.#sink())
    }, signal)
  }

  /** Stops the stream itself when its tokens do not fit. */
  async #guard (
    call: (signal: AbortSignal) => Promise<Result<GenerationUsage, TargetError>>,
    signal: AbortSignal
  ): Promise<Result<GenerationUsage, TargetError>> {
    const result = await call(signal)
    if (result.err && result.val.cause instanceof DivergenceError) {
      this.#stream = null
    }
    return result
  }

  #sink (): { readonly onToken: (token: GeneratedToken) => void } {
    return { onToken: token => { this.#onToken(token) } }
  }

  #onToken (token: GeneratedToken): void {
    if (token.index !== this.#expected) {
      throw new DivergenceError(`expected token ${this.#expected}, got ${token.index}`)
    }
    this.#expected += 1
    this.#onTime()
    if (token.index < this.#texts.length) {
      this.#recomputed += 1
      if (this.#texts[token.index] !== token.text) {
        throw new DivergenceError(`token ${token.index} differs from the one delivered before`)
      }
      return
    }
    this.#texts.push(token.text)
    this.#finishReason = token.finishReason
    this.options.onToken(token)
  }

  #onTime (): void {
    const now = Date.now()
    this.#firstTokenAt ??= now
    this.#lastTokenAt = now
    this.#tokensSeen += 1
  }

  #isResumable (result: Result<GenerationUsage, TargetError>, signal: AbortSignal): boolean {
    if (result.ok || signal.aborted || this.#stream === null) {
      return false
    }
    return result.val.code === TargetErrorCode.Cut || result.val.code === TargetErrorCode.Silent
  }
}

/** Whether an error came from tokens that did not fit what was delivered. */
export function isDivergence (error: TargetError): boolean {
  return error.cause instanceof DivergenceError
}

/** Whether an error leaves nothing to resume at the target. */
function isFinal (error: TargetError): boolean {
  return error.code === TargetErrorCode.Refused || error.code === TargetErrorCode.Unreachable
}
