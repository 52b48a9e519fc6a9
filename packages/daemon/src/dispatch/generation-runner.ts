/** Runs generations: chooses targets, acquires permits, dispatches requests and retries failed attempts. */
import { TargetErrorCode } from '@arbutusloft/adapters'
import type { GenerationUsage, TargetError } from '@arbutusloft/adapters'
import { backoffMilliseconds, PrefixIndex, RetryBudget, rankTargets } from '@arbutusloft/policy'
import type { Cost } from '@arbutusloft/protocol'
import { combineSignals, WorkClass } from '@arbutusloft/protocol'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { PermitErrorCode } from '../permits/permit.js'
import type { Permit, PermitError } from '../permits/permit.js'
import type { PermitClient } from '../permits/permit-client.js'
import { sleep } from '../util/sleep.js'
import { DispatchError, DispatchErrorCode } from './dispatch-error.js'
import { isDivergence } from './generation.js'
import type { Generation } from './generation.js'
import type { AvailableTarget, TargetDirectory } from './target-directory.js'

const { Ok, Err } = tsResults

/** Options of {@link GenerationRunner}. */
export interface GenerationRunnerOptions {
  readonly directory: TargetDirectory
  readonly permits: PermitClient
  /** Availability zone of this process. */
  readonly zone: string
  /** Number of attempts failed by targets after which the request fails. */
  readonly maximumFailedAttempts: number
}

/** A generation with its routing and admission parameters. */
export interface GenerationTask {
  readonly generation: Generation
  readonly model: string
  /** Hashes of the prompt's blocks, for prefix-cache affinity. */
  readonly blocks: readonly string[]
  readonly workClass: WorkClass
  readonly client: string
  readonly cost: Cost
  /** Milliseconds that the request may wait for permits, over all attempts. */
  readonly maximumWaitMilliseconds: number
  /** Milliseconds from the estimated end of the job's remaining work to its deadline, negative if it will be late; 0 for online requests. */
  readonly slackMilliseconds: number
  readonly signal: AbortSignal
}

type TaskResult = Result<GenerationUsage, DispatchError>

/**
 * Upper bound on the wait of a batch request at one owner. The targets are ranked again after it, so the request may move
 * to another target. It bounds the retry delay that an owner returns for the same reason.
 */
const maximumPermitWaitMilliseconds = 2_000
const defaultRetryAfterMilliseconds = 1_000
const firstServerErrorStatus = 500
const statusTooManyRequests = 429

/** Runs generations concurrently, with one retry budget for all of them. */
export class GenerationRunner {
  readonly prefixIndex = new PrefixIndex()
  readonly #retryBudget = new RetryBudget()

  constructor (private readonly options: GenerationRunnerOptions) {}

  /** Runs a generation until its answer is complete or no further attempt is possible. */
  async run (task: GenerationTask): Promise<TaskResult> {
    const deadline = Date.now() + task.maximumWaitMilliseconds
    const state: TaskState = { mayHaveReachedTarget: false, failedAttempts: 0, roundsWithoutPermit: 0 }
    this.#retryBudget.onRequestStart()
    try {
      return await this.#runUntilResult(task, state, deadline)
    } finally {
      this.#retryBudget.onRequestEnd()
    }
  }

  async #runUntilResult (task: GenerationTask, state: TaskState, deadline: number): Promise<TaskResult> {
    for (;;) {
      const granted = await this.#acquirePermit(task, state, deadline)
      if (granted.err) {
        return granted
      }
      const result = await this.#attempt(task, state, granted.val)
      if (result !== null) {
        return result
      }
    }
  }

  /** Acquires a permit for the best target, or else for the second best, and repeats both with backoff until the deadline. */
  async #acquirePermit (task: GenerationTask, state: TaskState, deadline: number): Promise<Result<GrantedDestination, DispatchError>> {
    for (;;) {
      if (task.signal.aborted) {
        return Err(this.#error(DispatchErrorCode.Cancelled, 'cancelled', state, null))
      }
      const [best, ...others] = this.#route(task)
      if (best === undefined) {
        return Err(this.#error(DispatchErrorCode.NoTarget, `no target serves ${task.model} now`, state, defaultRetryAfterMilliseconds))
      }
      const waitMilliseconds = Math.max(0, deadline - Date.now())
      const firstResult = await this.#requestPermit(task, best, waitMilliseconds)
      if (firstResult.ok) {
        return Ok({ destination: best, permit: firstResult.val })
      }
      const secondBest = others[0]
      const secondResult = secondBest === undefined ? firstResult : await this.#requestPermit(task, secondBest, Math.max(0, deadline - Date.now()))
      if (secondResult.ok && secondBest !== undefined) {
        return Ok({ destination: secondBest, permit: secondResult.val })
      }
      const finalError = await this.#waitBeforeRetry(task, state, deadline, firstResult.val as PermitError)
      if (finalError !== null) {
        return Err(finalError)
      }
    }
  }

  /** Returns the available targets, best first; a target that can resume the interrupted stream comes before all others. */
  #route (task: GenerationTask): readonly AvailableTarget[] {
    const candidates = this.options.directory.forModel(task.model)
    const resumable = candidates.find(candidate => candidate.target === task.generation.resumableTarget)
    const ordered = rankTargets({ blocks: task.blocks, zone: this.options.zone, candidates }, this.prefixIndex) as readonly AvailableTarget[]
    return resumable === undefined ? ordered : [resumable, ...ordered.filter(candidate => candidate !== resumable)]
  }

  async #requestPermit (task: GenerationTask, destination: AvailableTarget, waitMilliseconds: number): Promise<Result<Permit, PermitError>> {
    return await this.options.permits.request({
      target: destination.target,
      targetZone: destination.zone,
      concurrency: destination.concurrency,
      workClass: task.workClass,
      client: task.client,
      cost: task.cost,
      maximumWaitMilliseconds: task.workClass === WorkClass.Batch ? Math.min(waitMilliseconds, maximumPermitWaitMilliseconds) : waitMilliseconds,
      slackMilliseconds: task.slackMilliseconds,
      signal: task.signal
    })
  }

  /** Waits before permits are requested again; returns an error instead if the wait would exceed the deadline. */
  async #waitBeforeRetry (
    task: GenerationTask,
    state: TaskState,
    deadline: number,
    permitError: PermitError
  ): Promise<DispatchError | null> {
    if (permitError.code === PermitErrorCode.Aborted) {
      return this.#error(DispatchErrorCode.Cancelled, 'cancelled', state, null)
    }
    state.roundsWithoutPermit += 1
    const waitMilliseconds = Math.max(backoffMilliseconds(state.roundsWithoutPermit, Math.random()), Math.min(permitError.retryAfterMilliseconds, maximumPermitWaitMilliseconds))
    if (Date.now() + waitMilliseconds >= deadline) {
      return this.#error(DispatchErrorCode.Busy, 'the targets are busy', state, Math.max(permitError.retryAfterMilliseconds, defaultRetryAfterMilliseconds))
    }
    await sleep(waitMilliseconds, task.signal)
    return null
  }

  /** Makes one attempt; returns null if another attempt must follow. */
  async #attempt (task: GenerationTask, state: TaskState, granted: GrantedDestination): Promise<TaskResult | null> {
    const { destination, permit } = granted
    const { generation } = task
    const stopTracking = this.options.directory.trackInFlight(destination.target)
    this.prefixIndex.add(destination.target, task.blocks)
    const combined = combineSignals([task.signal, permit.revoked])
    const result = await generation.attempt(destination, combined.signal)
    combined.release()
    stopTracking()
    const targetFailed = result.err && isTargetFailure(result.val)
    permit.finish({ ...generation.latencies, targetFailed })
    if (result.ok) {
      return Ok(result.val)
    }
    state.mayHaveReachedTarget ||= result.val.mayHaveReachedTarget
    if (task.signal.aborted) {
      return Err(this.#error(DispatchErrorCode.Cancelled, 'cancelled', state, null))
    }
    if (permit.revoked.aborted) {
      return null
    }
    return this.#handleFailure(state, destination, result.val)
  }

  #handleFailure (state: TaskState, destination: AvailableTarget, error: TargetError): TaskResult | null {
    if (isDivergence(error)) {
      return Err(this.#error(DispatchErrorCode.Diverged, 'the answer broke off and no other target continues it alike', state, null))
    }
    if (isRejection(error)) {
      // Not marked as not run, since the target received the request.
      return Err(new DispatchError(DispatchErrorCode.Rejected, error.message, false, null, error.status))
    }
    this.options.directory.markSuspected(destination.target)
    state.failedAttempts += 1
    if (state.failedAttempts >= this.options.maximumFailedAttempts || !this.#retryBudget.tryTakeRetry()) {
      return Err(this.#error(DispatchErrorCode.Failed, `the target failed: ${error.message}`, state, defaultRetryAfterMilliseconds))
    }
    return null
  }

  #error (code: DispatchErrorCode, message: string, state: TaskState, retryAfterMilliseconds: number | null): DispatchError {
    return new DispatchError(code, message, !state.mayHaveReachedTarget, retryAfterMilliseconds)
  }
}

interface GrantedDestination {
  readonly destination: AvailableTarget
  readonly permit: Permit
}

interface TaskState {
  /** Whether a byte of the request may have reached a target in any attempt. */
  mayHaveReachedTarget: boolean
  /** Number of attempts that a target failed; revoked permits do not count. */
  failedAttempts: number
  /** Number of rounds without a permit, for the backoff. */
  roundsWithoutPermit: number
}

/** Returns whether the target rejected the request itself; 429 and 5xx count as failures of the target instead. */
function isRejection (error: TargetError): boolean {
  return error.code === TargetErrorCode.Refused &&
    error.status !== null &&
    error.status < firstServerErrorStatus &&
    error.status !== statusTooManyRequests
}

function isTargetFailure (error: TargetError): boolean {
  return error.code !== TargetErrorCode.Aborted && !isRejection(error)
}
