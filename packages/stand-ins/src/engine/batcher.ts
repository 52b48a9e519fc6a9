/** Continuous batching: admits sequences in order of arrival while the key-value cache has space, and steps all running sequences together. */
import type { EngineOptions } from './engine-options.js'
import type { Sequence } from './sequence.js'

const contextTokensPerCostUnit = 1_000

/** Queues and runs sequences, without priorities. */
export class Batcher {
  readonly #queue: Sequence[] = []
  readonly #running = new Set<Sequence>()
  #stepTimer: NodeJS.Timeout | null = null
  #immediateStep: NodeJS.Immediate | null = null
  #generated = 0

  constructor (private readonly options: EngineOptions) {}

  get running (): number {
    return this.#running.size
  }

  get queued (): number {
    return this.#queue.length
  }

  /** Number of tokens generated since the start. */
  get generated (): number {
    return this.#generated
  }

  /** Adds a sequence to the end of the queue. */
  add (sequence: Sequence): void {
    this.#queue.push(sequence)
    this.#scheduleStep()
  }

  /** Removes a sequence from the queue or the running set; the sequence keeps the tokens it has generated. */
  remove (sequence: Sequence): void {
    this.#running.delete(sequence)
    const index = this.#queue.indexOf(sequence)
    if (index >= 0) {
      this.#queue.splice(index, 1)
    }
  }

  /** Drops all sequences and stops stepping. */
  close (): void {
    this.#queue.length = 0
    this.#running.clear()
    if (this.#stepTimer !== null) {
      clearTimeout(this.#stepTimer)
    }
    if (this.#immediateStep !== null) {
      clearImmediate(this.#immediateStep)
    }
  }

  /** Starts the next step unless one is in progress. */
  #scheduleStep (): void {
    if (this.#stepTimer !== null || this.#immediateStep !== null) {
      return
    }
    this.#admit()
    if (this.#running.size === 0) {
      return
    }
    const stepMilliseconds = this.#beginStep()
    const end = (): void => {
      this.#stepTimer = null
      this.#immediateStep = null
      this.#endStep()
      this.#scheduleStep()
    }
    // Timers take at least 1 ms.
    if (stepMilliseconds < 1) {
      this.#immediateStep = setImmediate(end)
    } else {
      this.#stepTimer = setTimeout(end, stepMilliseconds)
    }
  }

  /**
   * Moves sequences from the queue to the running set while the key-value cache has space for their prompts and complete
   * answers. A sequence larger than the cache runs alone.
   */
  #admit (): void {
    let reservedTokens = 0
    for (const sequence of this.#running) {
      reservedTokens += sequence.promptTokens + sequence.answerTokens
    }
    while (this.#queue.length > 0 && this.#running.size < this.options.maximumSequences) {
      const next = this.#queue[0]
      if (next === undefined) {
        return
      }
      reservedTokens += next.promptTokens + next.answerTokens
      if (reservedTokens > this.options.keyValueCacheTokens && this.#running.size > 0) {
        return
      }
      this.#queue.shift()
      this.#running.add(next)
    }
  }

  /** Prefills up to the step's maximum of prompt tokens; returns the duration of the step in milliseconds. */
  #beginStep (): number {
    const { costs, maximumPrefillTokens } = this.options
    let remainingTokens = maximumPrefillTokens
    let contextTokens = 0
    for (const sequence of this.#running) {
      const prefilledTokens = Math.min(remainingTokens, sequence.remainingPrefillTokens)
      sequence.remainingPrefillTokens -= prefilledTokens
      remainingTokens -= prefilledTokens
      contextTokens += sequence.promptTokens + sequence.generated
    }
    return costs.stepMilliseconds +
      costs.millisecondsPerSequence * this.#running.size +
      costs.millisecondsPerThousandContextTokens * contextTokens / contextTokensPerCostUnit +
      costs.millisecondsPerPrefilledToken * (maximumPrefillTokens - remainingTokens)
  }

  /** Generates one token for each sequence whose prompt is prefilled. */
  #endStep (): void {
    for (const sequence of [...this.#running]) {
      if (sequence.remainingPrefillTokens > 0) {
        continue
      }
      const index = sequence.generated
      sequence.generated += 1
      this.#generated += 1
      sequence.listener?.onToken(index)
      if (sequence.generated >= sequence.answerTokens) {
        this.#running.delete(sequence)
        sequence.listener?.onEnd()
      }
    }
  }
}
