/** Runs generations: chooses targets, acquires permits, dispatches requests and retries failed attempts. */
import { TargetErrorCode } from '@arbutusloft/adapters'
import type { GenerationUsage, TargetError } from '@arbutusloft/adapters'
import { backoffMilliseconds, PrefixIndex, RetryBudget, route } from '@arbutusloft/policy'
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
  readonly attempts: number
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
  readonly patience: number
  /** Milliseconds from the estimated end of the job's remaining work to its deadline, negative if it will be late; 0 for online requests. */
  readonly slack: number
  readonly signal: AbortSignal
}

type TaskResult = Result<GenerationUsage, DispatchError>

/** Upper bound on the wait of a batch request at one owner, and on an owner's retry hint. */
const greatestPermitWaitMilliseconds = 2_000
const noTargetRetryMilliseconds = 1_000
const firstUnroutableStatus = 500
const statusTooManyRequests = 429

/** Runs generations concurrently, with one retry budget for all of them. */
export class GenerationRunner {
  readonly index = new PrefixIndex()
  readonly #budget = new RetryBudget()

  constructor (private readonly options: GenerationRunnerOptions) {}

  /** Runs a generation until its answer is complete or no further attempt is possible. */
  async run (task: GenerationTask): Promise<TaskResult> {
    const deadline = Date.now() + task.patience
    const state: TaskState = { reached: false, attempts: 0, refusals: 0 }
    this.#budget.onBegin()
    try {
      return await this.#runUntilResult(task, state, deadline)
    } finally {
      this.#budget.onEnd()
    }
  }

  async #runUntilResult (task: GenerationTask, state: TaskState, deadline: number): Promise<TaskResult> {
    for (;;) {
      const granted = await this.#acquire(task, state, deadline)
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
  async #acquire (task: GenerationTask, state: TaskState, deadline: number): Promise<Result<Granted, DispatchError>> {
    for (;;) {
      if (task.signal.aborted) {
        return Err(this.#error(DispatchErrorCode.Cancelled, 'cancelled', state, null))
      }
      const [best, ...others] = this.#route(task)
      if (best === undefined) {
        return Err(this.#error(DispatchErrorCode.NoTarget, `no available target serves model ${task.model}`, state, noTargetRetryMilliseconds))
      }
      const patience = Math.max(0, deadline - Date.now())
      const first = await this.#permit(task, best, patience)
      if (first.ok) {
        return Ok({ at: best, permit: first.val })
      }
      const second = others[0]
      const other = second === undefined ? first : await this.#permit(task, second, Math.max(0, deadline - Date.now()))
      if (other.ok && second !== undefined) {
        return Ok({ at: second, permit: other.val })
      }
      const pause = await this.#pause(task, state, deadline, first.val as PermitError)
      if (pause !== null) {
        return Err(pause)
      }
    }
  }

  /** Returns the available targets, best first; a target that can resume the interrupted stream comes before all others. */
  #route (task: GenerationTask): readonly AvailableTarget[] {
    const candidates = this.options.directory.forModel(task.model)
    const resumable = candidates.find(candidate => candidate.target === task.generation.resumableAt)
    const ordered = route({ blocks: task.blocks, zone: this.options.zone, candidates }, this.index) as readonly AvailableTarget[]
    return resumable === undefined ? ordered : [resumable, ...ordered.filter(candidate => candidate !== resumable)]
  }

  async #permit (task: GenerationTask, at: AvailableTarget, patience: number): Promise<Result<Permit, PermitError>> {
    return await this.options.permits.request({
      target: at.target,
      targetZone: at.zone,
      concurrency: at.concurrency,
      workClass: task.workClass,
      client: task.client,
      cost: task.cost,
      patience: task.workClass === WorkClass.Batch ? Math.min(patience, greatestPermitWaitMilliseconds) : patience,
      slack: task.slack,
      signal: task.signal
    })
  }

  /** Waits before permits are requested again; returns an error instead if the wait would exceed the deadline. */
  async #pause (
    task: GenerationTask,
    state: TaskState,
    deadline: number,
    refusal: PermitError
  ): Promise<DispatchError | null> {
    if (refusal.code === PermitErrorCode.Aborted) {
      return this.#error(DispatchErrorCode.Cancelled, 'cancelled', state, null)
    }
    state.refusals += 1
    const wait = Math.max(backoffMilliseconds(state.refusals, Math.random()), Math.min(refusal.retryAfter, greatestPermitWaitMilliseconds))
    if (Date.now() + wait >= deadline) {
      return this.#error(DispatchErrorCode.Busy, `all targets of model ${task.model} are busy`, state, Math.max(refusal.retryAfter, noTargetRetryMilliseconds))
    }
    await sleep(wait, task.signal)
    return null
  }

  /** Makes one attempt; returns null if another attempt must follow. */
  async #attempt (task: GenerationTask, state: TaskState, granted: Granted): Promise<TaskResult | null> {
    const { at, permit } = granted
    const { generation } = task
    const done = this.options.directory.onSent(at.target)
    this.index.add(at.target, task.blocks)
    const stop = combineSignals([task.signal, permit.revoked])
    const result = await generation.attempt(at, stop.signal)
    stop.release()
    done()
    const targetFailed = result.err && isTargetFailure(result.val)
    permit.finish({ ...generation.times, targetFailed })
    if (result.ok) {
      return Ok(result.val)
    }
    state.reached ||= result.val.reached
    if (task.signal.aborted) {
      return Err(this.#error(DispatchErrorCode.Cancelled, 'cancelled', state, null))
    }
    if (permit.revoked.aborted) {
      return null
    }
    return this.#afterFailure(state, at, result.val)
  }

  #afterFailure (state: TaskState, at: AvailableTarget, error: TargetError): TaskResult | null {
    if (isDivergence(error)) {
      return Err(this.#error(DispatchErrorCode.Diverged, 'the answer was interrupted, and the next attempt did not continue it with matching tokens', state, null))
    }
    if (isRejection(error)) {
      return Err(new DispatchError(DispatchErrorCode.Rejected, error.message, false, null, error.status))
    }
    this.options.directory.suspect(at.target)
    state.attempts += 1
    if (state.attempts >= this.options.attempts || !this.#budget.tryRetry()) {
      return Err(this.#error(DispatchErrorCode.Failed, `the target failed: ${error.message}`, state, noTargetRetryMilliseconds))
    }
    return null
  }

  #error (code: DispatchErrorCode, message: string, state: TaskState, retryAfter: number | null): DispatchError {
    return new DispatchError(code, message, !state.reached, retryAfter)
  }
}

interface Granted {
  readonly at: AvailableTarget
  readonly permit: Permit
}

interface TaskState {
  /** Whether a byte of the request may have reached a target in any attempt. */
  reached: boolean
  /** Number of attempts that a target failed; revoked permits do not count. */
  attempts: number
  /** Number of rounds without a permit, for the backoff. */
  refusals: number
}

/** Returns whether the target rejected the request itself; 429 and 5xx count as failures of the target instead. */
function isRejection (error: TargetError): boolean {
  return error.code === TargetErrorCode.Refused &&
    error.status !== null &&
    error.status < firstUnroutableStatus &&
    error.status !== statusTooManyRequests
}

function isTargetFailure (error: TargetError): boolean {
  return error.code !== TargetErrorCode.Aborted && !isRejection(error)
}
