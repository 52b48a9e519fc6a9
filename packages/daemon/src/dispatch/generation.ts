/** One logical generation request, which may take several attempts on several targets. */
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
  /** Called with each token of the answer exactly once, in order. */
  readonly onToken: (token: GeneratedToken) => void
}

/** A target and its address. */
export interface Destination {
  readonly target: string
  readonly address: string
}

/** Latencies of one attempt, in milliseconds. */
export interface AttemptLatencies {
  /** Time from the start of the attempt to its first token, or null if none came. */
  readonly timeToFirstToken: number | null
  /** Mean time between tokens, or null with fewer than two tokens. */
  readonly timeBetweenTokens: number | null
}

/** Number of consecutive resumes without a new token after which the attempt fails. */
const maximumResumesWithoutProgress = 3
const resumeBackoff = { baseMilliseconds: 20, capMilliseconds: 500 } as const

/** A received token has an unexpected index, or differs from the one already delivered. */
class DivergenceError extends Error {
  override readonly name = 'DivergenceError'
}

/**
 * Delivers each token of an answer exactly once, over all attempts. An interrupted stream is resumed
 * on the same target at the next token, over a new connection. Another target generates the answer
 * from the beginning: its tokens are compared with those already delivered and not delivered again.
 */
export class Generation {
  readonly #deliveredTexts: string[] = []
  /** The target and dispatch identifier of the stream that may be resumed, or null. */
  #stream: { readonly target: string, readonly dispatch: string } | null = null
  #finishReason: string | null = null
  #expectedIndex = 0
  #startedAt = 0
  #firstTokenAt: number | null = null
  #lastTokenAt = 0
  #receivedTokens = 0
  #recomputedTokens = 0

  constructor (private readonly options: GenerationOptions) {}

  /** Number of tokens delivered. */
  get deliveredTokens (): number {
    return this.#deliveredTexts.length
  }

  /** Text of the delivered tokens. */
  get text (): string {
    return this.#deliveredTexts.join('')
  }

  /** Finish reason of the last delivered token, or null while the answer is incomplete. */
  get finishReason (): string | null {
    return this.#finishReason
  }

  /** Number of tokens that a target generated again after they had been delivered. */
  get recomputedTokens (): number {
    return this.#recomputedTokens
  }

  /** Target on which the interrupted stream can be resumed, or null. */
  get resumableTarget (): string | null {
    return this.#stream?.target ?? null
  }

  /** Latencies of the last attempt. */
  get latencies (): AttemptLatencies {
    const gaps = this.#receivedTokens - 1
    const first = this.#firstTokenAt
    return {
      timeToFirstToken: first === null ? null : first - this.#startedAt,
      timeBetweenTokens: first === null || gaps < 1 ? null : (this.#lastTokenAt - first) / gaps
    }
  }

  /** Makes one attempt at the complete answer on a target, resuming the target's stream if there is one to resume. */
  async attempt (destination: Destination, signal: AbortSignal): Promise<Result<GenerationUsage, TargetError>> {
    this.#startedAt = Date.now()
    this.#firstTokenAt = null
    this.#receivedTokens = 0
    let result = this.#stream?.target === destination.target && this.#deliveredTexts.length > 0
      ? await this.#resume(destination, this.#stream.dispatch, signal)
      : await this.#start(destination, signal)
    result = await this.#resumeWhileProgressing(destination, result, signal)
    if (result.err && result.val.code === TargetErrorCode.NotFound) {
      this.#stream = null
      result = await this.#start(destination, signal)
    }
    if (result.err && isStreamLost(result.val)) {
      this.#stream = null
    }
    return result
  }

  /**
   * Cancels the stream that could still be resumed, so that its target releases it.
   *
   * @param addressOf returns the address of a target, or null if it is unknown
   */
  async discard (addressOf: (target: string) => string | null): Promise<void> {
    const stream = this.#stream
    this.#stream = null
    const address = stream === null ? null : addressOf(stream.target)
    if (stream !== null && address !== null) {
      await this.options.engine.cancel(address, stream.dispatch)
    }
  }

  async #resumeWhileProgressing (
    destination: Destination,
    first: Result<GenerationUsage, TargetError>,
    signal: AbortSignal
  ): Promise<Result<GenerationUsage, TargetError>> {
    let result = first
    let resumesWithoutProgress = 0
    while (resumesWithoutProgress < maximumResumesWithoutProgress && this.#isResumable(result, signal)) {
      if (resumesWithoutProgress > 0) {
        await sleep(backoffMilliseconds(resumesWithoutProgress, Math.random(), resumeBackoff), signal)
      }
      const deliveredBefore = this.#deliveredTexts.length
      result = await this.#resume(destination, this.#stream?.dispatch ?? '', signal)
      resumesWithoutProgress = this.#deliveredTexts.length > deliveredBefore ? 0 : resumesWithoutProgress + 1
    }
    return result
  }

  async #start (destination: Destination, signal: AbortSignal): Promise<Result<GenerationUsage, TargetError>> {
    const dispatch = createIdentifier('dispatch')
    this.#stream = { target: destination.target, dispatch }
    this.#expectedIndex = 0
    const { path, body, engine } = this.options
    return await this.#callTarget(async abort => {
      return await engine.generate(destination.address, { dispatch, path, body, signal: abort }, this.#createTokenHandler())
    }, signal)
  }

  async #resume (
    destination: Destination,
    dispatch: string,
    signal: AbortSignal
  ): Promise<Result<GenerationUsage, TargetError>> {
    const from = this.#deliveredTexts.length
    this.#expectedIndex = from
    return await this.#callTarget(async abort => {
      return await this.options.engine.resume(destination.address, { dispatch, from, signal: abort }, this.#createTokenHandler())
    }, signal)
  }

  /** Calls the target. Forgets the stream if its tokens diverged, since resuming it would diverge again. */
  async #callTarget (
    call: (signal: AbortSignal) => Promise<Result<GenerationUsage, TargetError>>,
    signal: AbortSignal
  ): Promise<Result<GenerationUsage, TargetError>> {
    const result = await call(signal)
    if (result.err && result.val.cause instanceof DivergenceError) {
      this.#stream = null
    }
    return result
  }

  #createTokenHandler (): { readonly onToken: (token: GeneratedToken) => void } {
    return { onToken: token => { this.#onToken(token) } }
  }

  #onToken (token: GeneratedToken): void {
    if (token.index !== this.#expectedIndex) {
      throw new DivergenceError(`expected token index ${this.#expectedIndex}, received ${token.index}`)
    }
    this.#expectedIndex += 1
    this.#recordTokenTime()
    if (token.index < this.#deliveredTexts.length) {
      this.#recomputedTokens += 1
      if (this.#deliveredTexts[token.index] !== token.text) {
        throw new DivergenceError(`token ${token.index} differs from the token already delivered at this index`)
      }
      return
    }
    this.#deliveredTexts.push(token.text)
    this.#finishReason = token.finishReason
    this.options.onToken(token)
  }

  #recordTokenTime (): void {
    const now = Date.now()
    this.#firstTokenAt ??= now
    this.#lastTokenAt = now
    this.#receivedTokens += 1
  }

  #isResumable (result: Result<GenerationUsage, TargetError>, signal: AbortSignal): boolean {
    if (result.ok || signal.aborted || this.#stream === null) {
      return false
    }
    return result.val.code === TargetErrorCode.Interrupted || result.val.code === TargetErrorCode.TimedOut
  }
}

/** Returns whether the error was caused by tokens that do not match those already delivered. */
export function isDivergence (error: TargetError): boolean {
  return error.cause instanceof DivergenceError
}

/** Returns whether the error leaves no stream that could be resumed on the target. */
function isStreamLost (error: TargetError): boolean {
  return error.code === TargetErrorCode.Refused || error.code === TargetErrorCode.Unreachable
}
