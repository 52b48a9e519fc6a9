/** Runs calls to plain services: chooses targets, acquires permits, dispatches calls and retries where that is safe. */
import type { PlainService, ServiceResponse, ServiceCall } from '@arbutusloft/adapters'
import { RetryBudget, rankTargets, PrefixIndex } from '@arbutusloft/policy'
import { createIdentifier } from '@arbutusloft/protocol'
import type { WorkClass } from '@arbutusloft/protocol'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { emptyPermitOutcome } from '../permits/permit.js'
import type { PermitClient } from '../permits/permit-client.js'
import { DispatchError, DispatchErrorCode } from './dispatch-error.js'
import type { AvailableTarget, TargetDirectory } from './target-directory.js'

const { Ok, Err } = tsResults

/** Options of {@link ServiceRunner}. */
export interface ServiceRunnerOptions {
  readonly service: PlainService
  readonly directory: TargetDirectory
  readonly permits: PermitClient
  readonly zone: string
  /** Maximum number of attempts of a call. */
  readonly maximumAttempts: number
}

/** A call with its routing and admission parameters. */
export interface ServiceTask {
  readonly service: string
  readonly call: Omit<ServiceCall, 'dispatch' | 'signal'>
  /** Whether the call is idempotent, so that it may be retried after it may have reached a target. */
  readonly isIdempotent: boolean
  readonly workClass: WorkClass
  readonly client: string
  /** Milliseconds that the call may wait for permits, over all attempts. */
  readonly maximumWaitMilliseconds: number
  /** Milliseconds from the estimated end of the job's remaining work to its deadline, negative if it will be late; 0 for online requests. */
  readonly slackMilliseconds: number
  readonly signal: AbortSignal
}

const defaultRetryAfterMilliseconds = 1_000
/** Calls have no tokens; each counts the same towards fair shares. */
const nominalCallCost = { promptTokens: 1, completionTokens: 1 } as const
const emptyPrefixIndex = new PrefixIndex()

/** Runs calls concurrently, with one retry budget for all of them. */
export class ServiceRunner {
  readonly #retryBudget = new RetryBudget()

  constructor (private readonly options: ServiceRunnerOptions) {}

  /** Runs a call until its answer is complete or no further attempt is possible. */
  async run (task: ServiceTask): Promise<Result<ServiceResponse, DispatchError>> {
    this.#retryBudget.onRequestStart()
    try {
      return await this.#runUntilResult(task)
    } finally {
      this.#retryBudget.onRequestEnd()
    }
  }

  async #runUntilResult (task: ServiceTask): Promise<Result<ServiceResponse, DispatchError>> {
    const deadline = Date.now() + task.maximumWaitMilliseconds
    const failedTargets = new Set<string>()
    for (let attempt = 1; ; attempt++) {
      const destination = this.#route(task, failedTargets)
      if (destination === undefined) {
        // A non-idempotent call is retried only if no attempt reached a target.
        const notRun = attempt === 1 || !task.isIdempotent
        return Err(new DispatchError(
          DispatchErrorCode.NoTarget,
          `no target serves ${task.service} now`,
          notRun,
          defaultRetryAfterMilliseconds
        ))
      }
      const waitMilliseconds = Math.max(0, deadline - Date.now())
      const result = await this.#attempt(task, destination, waitMilliseconds)
      if (result.ok || !this.#mayRetry(task, result.val, attempt)) {
        return result
      }
      failedTargets.add(destination.target)
    }
  }

  #route (task: ServiceTask, failedTargets: ReadonlySet<string>): AvailableTarget | undefined {
    const candidates = this.options.directory.forService(task.service)
      .filter(candidate => !failedTargets.has(candidate.target))
    return rankTargets({ blocks: [], zone: this.options.zone, candidates }, emptyPrefixIndex)[0] as AvailableTarget | undefined
  }

  async #attempt (
    task: ServiceTask,
    destination: AvailableTarget,
    waitMilliseconds: number
  ): Promise<Result<ServiceResponse, DispatchError>> {
    const permit = await this.options.permits.request({
      target: destination.target,
      targetZone: destination.zone,
      concurrency: destination.concurrency,
      workClass: task.workClass,
      client: task.client,
      cost: nominalCallCost,
      maximumWaitMilliseconds: waitMilliseconds,
      slackMilliseconds: task.slackMilliseconds,
      signal: task.signal
    })
    if (permit.err) {
      // The call was not sent in this attempt.
      return Err(new DispatchError(DispatchErrorCode.Busy, 'the service is busy', true, permit.val.retryAfterMilliseconds))
    }
    const stopTracking = this.options.directory.trackInFlight(destination.target)
    // A call in flight continues even if its batch permit is revoked: calls are short, and the outcome of an aborted call is unknown.
    const result = await this.options.service.call(destination.address, {
      ...task.call,
      dispatch: createIdentifier('dispatch'),
      signal: task.signal
    })
    stopTracking()
    permit.val.finish({ ...emptyPermitOutcome, targetFailed: result.err })
    if (result.ok) {
      return Ok(result.val)
    }
    this.options.directory.markSuspected(destination.target)
    return Err(new DispatchError(
      DispatchErrorCode.Failed,
      `the service failed: ${result.val.message}`,
      !result.val.mayHaveReachedTarget,
      defaultRetryAfterMilliseconds
    ))
  }

  #mayRetry (task: ServiceTask, error: DispatchError, attempt: number): boolean {
    if (error.code !== DispatchErrorCode.Failed || task.signal.aborted || attempt >= this.options.maximumAttempts) {
      return false
    }
    return (task.isIdempotent || error.notRun) && this.#retryBudget.tryTakeRetry()
  }
}
