/** Runs generations: routes, gets permits, dispatches, and tries again where that is safe. */
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
  /** Tries that reach a target before a request fails. */
  readonly attempts: number
}

/** A generation and the conditions under which it runs. */
export interface GenerationTask {
  readonly generation: Generation
  readonly model: string
  /** Hashes of the prompt's blocks. */
  readonly blocks: readonly string[]
  readonly workClass: WorkClass
  readonly client: string
  readonly cost: Cost
  /** Milliseconds that the request may wait for a target. */
  readonly patience: number
  /** Milliseconds between a job's deadline and the end of its remaining work; 0 online. */
  readonly slack: number
  readonly signal: AbortSignal
}

type TaskResult = Result<GenerationUsage, DispatchError>

const greatestPermitWaitMilliseconds = 2_000
const noTargetRetryMilliseconds = 1_000
const firstUnroutableStatus = 500
const statusTooManyRequests = 429

/** Runs any number of generations at once. */
export class GenerationRunner {
  readonly index = new PrefixIndex()
  readonly #budget = new RetryBudget()

  constructor (private readonly options: GenerationRunnerOptions) {}

  /** Runs a generation to its whole answer, or to a final error. */
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

  /** Gets a permit for the best target that gives one. */
  async #acquire (task: GenerationTask, state: TaskState, deadline: number): Promise<Result<Granted, DispatchError>> {
    for (;;) {
      if (task.signal.aborted) {
        return Err(this.#error(DispatchErrorCode.Cancelled, 'cancelled', state, null))
      }
      const [best, ...others] = this.#route(task)
      if (best === undefined) {
        return Err(this.#error(DispatchErrorCode.NoTarget, `no target serves ${task.model} now`, state, noTargetRetryMilliseconds))
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

  /** Waits before permits are asked for again; returns the error if there is no time left. */
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
      return this.#error(DispatchErrorCode.Busy, 'the targets are busy', state, Math.max(refusal.retryAfter, noTargetRetryMilliseconds))
    }
    await sleep(wait, task.signal)
    return null
  }

  /** Makes one try; returns null if another one is due. */
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
      return Err(this.#error(DispatchErrorCode.Diverged, 'the answer broke off and no other target continues it alike', state, null))
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
  /** Whether a byte of the request may have reached a target. */
  reached: boolean
  /** Tries that failed at a target. */
  attempts: number
  /** Rounds in which no permit was had. */
  refusals: number
}

function isRejection (error: TargetError): boolean {
  return error.code === TargetErrorCode.Refused &&
    error.status !== null &&
    error.status < firstUnroutableStatus &&
    error.status !== statusTooManyRequests
}

function isTargetFailure (error: TargetError): boolean {
  return error.code !== TargetErrorCode.Aborted && !isRejection(error)
}
