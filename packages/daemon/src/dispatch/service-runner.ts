/** Runs calls to plain services. */
import type { PlainService, ServiceAnswer, ServiceCall } from '@arbutusloft/adapters'
import { RetryBudget, route, PrefixIndex } from '@arbutusloft/policy'
import { createIdentifier } from '@arbutusloft/protocol'
import type { WorkClass } from '@arbutusloft/protocol'
import tsResults from 'ts-results'
import type { Result } from 'ts-results'
import { unusedPermit } from '../permits/permit.js'
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
  /** Tries that reach a target before a repeatable call fails. */
  readonly attempts: number
}

/** A call and the conditions under which it runs. */
export interface ServiceTask {
  readonly service: string
  readonly call: Omit<ServiceCall, 'dispatch' | 'signal'>
  /** Whether the call may be sent again after it may have reached a target. */
  readonly repeatable: boolean
  readonly workClass: WorkClass
  readonly client: string
  readonly patience: number
  readonly slack: number
  readonly signal: AbortSignal
}

const noTargetRetryMilliseconds = 1_000
const callCost = { promptTokens: 1, completionTokens: 1 } as const
const noBlocks = new PrefixIndex()

/** Runs any number of calls at once. */
export class ServiceRunner {
  readonly #budget = new RetryBudget()

  constructor (private readonly options: ServiceRunnerOptions) {}

  /** Runs a call to its whole answer, or to a final error. */
  async run (task: ServiceTask): Promise<Result<ServiceAnswer, DispatchError>> {
    this.#budget.onBegin()
    try {
      return await this.#runUntilResult(task)
    } finally {
      this.#budget.onEnd()
    }
  }

  async #runUntilResult (task: ServiceTask): Promise<Result<ServiceAnswer, DispatchError>> {
    const deadline = Date.now() + task.patience
    const unreachable = new Set<string>()
    for (let attempt = 1; ; attempt++) {
      const at = this.#route(task, unreachable)
      if (at === undefined) {
        return Err(new DispatchError(DispatchErrorCode.NoTarget, `no target serves ${task.service} now`, attempt === 1 || !task.repeatable, noTargetRetryMilliseconds))
      }
      const patience = Math.max(0, deadline - Date.now())
      const result = await this.#attempt(task, at, patience)
      if (result.ok || !this.#mayRepeat(task, result.val, attempt)) {
        return result
      }
      unreachable.add(at.target)
    }
  }

  #route (task: ServiceTask, unreachable: ReadonlySet<string>): AvailableTarget | undefined {
    const candidates = this.options.directory.forService(task.service)
      .filter(candidate => !unreachable.has(candidate.target))
    return route({ blocks: [], zone: this.options.zone, candidates }, noBlocks)[0] as AvailableTarget | undefined
  }

  async #attempt (
    task: ServiceTask,
    at: AvailableTarget,
    patience: number
  ): Promise<Result<ServiceAnswer, DispatchError>> {
    const permit = await this.options.permits.request({
      target: at.target,
      targetZone: at.zone,
      concurrency: at.concurrency,
      workClass: task.workClass,
      client: task.client,
      cost: callCost,
      patience,
      slack: task.slack,
      signal: task.signal
    })
    if (permit.err) {
      return Err(new DispatchError(DispatchErrorCode.Busy, 'the service is busy', true, permit.val.retryAfter))
    }
    const done = this.options.directory.onSent(at.target)
    // A call in flight is let run even when its batch permit is revoked: it is short, and cutting it makes its outcome unknown.
    const result = await this.options.service.call(at.address, {
      ...task.call,
      dispatch: createIdentifier('dispatch'),
      signal: task.signal
    })
    done()
    permit.val.finish({ ...unusedPermit, targetFailed: result.err })
    if (result.ok) {
      return Ok(result.val)
    }
    this.options.directory.suspect(at.target)
    return Err(new DispatchError(DispatchErrorCode.Failed, `the service failed: ${result.val.message}`, !result.val.reached, noTargetRetryMilliseconds))
  }

  #mayRepeat (task: ServiceTask, error: DispatchError, attempt: number): boolean {
    if (error.code !== DispatchErrorCode.Failed || task.signal.aborted || attempt >= this.options.attempts) {
      return false
    }
    return (task.repeatable || error.notRun) && this.#budget.tryRetry()
  }
}
